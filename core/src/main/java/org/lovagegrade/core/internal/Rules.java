package org.lovagegrade.core.internal;

import java.util.Comparator;
import org.lovagegrade.core.Resources;

/**
 * What differs between policies.
 *
 * @param jobOrder which job of a workspace goes first
 * @param workspaceOrder which workspace goes first
 * @param search how a worker is found
 * @param strictShareOrder whether, urgent work aside, workspaces go strictly in the order of their use of share
 * @param preempts whether running work gives way to other work
 * @param reservesCapacity whether room is held free for work that would wait forever
 */
public record Rules(
        Comparator<JobState> jobOrder,
        WorkspaceOrder workspaceOrder,
        WorkerSearch search,
        boolean strictShareOrder,
        boolean preempts,
        boolean reservesCapacity) {
    private static final Comparator<JobState> BY_SUBMISSION = Comparator.comparingLong(job -> job.sequence);
    private static final Comparator<JobState> BY_DEADLINE =
            Comparator.<JobState>comparingLong(job -> job.deadlineMs).thenComparingLong(job -> job.sequence);

    /** Compares two workspaces by their next jobs. */
    @FunctionalInterface
    interface WorkspaceOrder {
        int compare(WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cell);
    }

    /** Finds a worker for one task. */
    @FunctionalInterface
    interface WorkerSearch {
        WorkerState find(Cell cell, JobState job);
    }

    /**
     * The product's own rules.
     *
     * @return the rules
     */
    public static Rules current() {
        return new Rules(BY_DEADLINE, Rules::urgentThenByShare, BestFit::find, true, true, true);
    }

    /**
     * The plainest rules: in order of submission, on the first worker that fits.
     *
     * @return the rules
     */
    public static Rules fifoFirstFit() {
        return new Rules(BY_SUBMISSION, Rules::bySubmission, FirstFit::find, false, false, false);
    }

    /**
     * Workspaces by dominant share, else as plain as can be.
     *
     * @return the rules
     */
    public static Rules fairFirstFit() {
        return new Rules(BY_SUBMISSION, Rules::byShare, FirstFit::find, true, false, false);
    }

    private static int bySubmission(
            WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cell) {
        return BY_SUBMISSION.compare(leftJob, rightJob);
    }

    private static int byShare(
            WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cell) {
        int byUtilization = Double.compare(left.shareUtilization(cell), right.shareUtilization(cell));
        return byUtilization != 0 ? byUtilization : BY_SUBMISSION.compare(leftJob, rightJob);
    }

    private static int urgentThenByShare(
            WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cell) {
        if (leftJob.isUrgent() != rightJob.isUrgent()) {
            return leftJob.isUrgent() ? -1 : 1;
        }
        return byShare(left, leftJob, right, rightJob, cell);
    }
}
