package org.lovagegrade.core.internal;

import java.util.Comparator;
import org.lovagegrade.core.Resources;

/**
 * The rules by which policies differ.
 *
 * @param jobOrder order of the jobs of one workspace
 * @param workspaceOrder order of jobs of different workspaces
 * @param search worker search for one task
 * @param strictShareOrder whether freed capacity goes to urgent jobs first, then to workspaces strictly in order of
 *     share utilization
 * @param preempts whether running tasks may be preempted
 * @param reservesCapacity whether workers are reserved for jobs that would otherwise starve
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

    /** Compares the next jobs of two workspaces. */
    @FunctionalInterface
    interface WorkspaceOrder {
        int compare(
                WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cellCapacity);
    }

    /** Finds a worker for one task. */
    @FunctionalInterface
    interface WorkerSearch {
        WorkerState find(Cell cell, JobState job);
    }

    /**
     * The rules of the production policy.
     *
     * @return the rules
     */
    public static Rules current() {
        return new Rules(BY_DEADLINE, Rules::urgentThenByShare, BestFit::find, true, true, true);
    }

    /**
     * Baseline: jobs in order of submission, on the first worker that fits.
     *
     * @return the rules
     */
    public static Rules fifoFirstFit() {
        return new Rules(BY_SUBMISSION, Rules::bySubmission, FirstFit::find, false, false, false);
    }

    /**
     * Baseline: workspaces in order of dominant share, jobs in order of submission, on the first worker that fits.
     *
     * @return the rules
     */
    public static Rules fairFirstFit() {
        return new Rules(BY_SUBMISSION, Rules::byShare, FirstFit::find, true, false, false);
    }

    private static int bySubmission(
            WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cellCapacity) {
        return BY_SUBMISSION.compare(leftJob, rightJob);
    }

    private static int byShare(
            WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cellCapacity) {
        int byUtilization = Double.compare(left.shareUtilization(cellCapacity), right.shareUtilization(cellCapacity));
        return byUtilization != 0 ? byUtilization : BY_SUBMISSION.compare(leftJob, rightJob);
    }

    private static int urgentThenByShare(
            WorkspaceState left, JobState leftJob, WorkspaceState right, JobState rightJob, Resources cellCapacity) {
        if (leftJob.isUrgent() != rightJob.isUrgent()) {
            return leftJob.isUrgent() ? -1 : 1;
        }
        return byShare(left, leftJob, right, rightJob, cellCapacity);
    }
}
