package org.lovagegrade.core;

/**
 * A decision of the scheduler about a job or an attempt.
 *
 * @param action the action
 * @param job the job's id
 * @param task the task's index, or {@link #WHOLE_JOB}
 * @param attempt the number of the attempt, or 0 if the decision is about the whole job
 * @param worker the worker's id, empty if the decision is about the whole job
 * @param reason the reason
 * @param leaseMs for a placement, the length of the lease in milliseconds; else 0
 */
public record Decision(Action action, String job, int task, int attempt, String worker, Reason reason, long leaseMs) {
    /** The task index of a decision about the whole job. */
    public static final int WHOLE_JOB = -1;

    /**
     * Creates a decision about a whole job.
     *
     * @param action the action
     * @param job the job's id
     * @param reason the reason
     * @return the decision
     */
    public static Decision aboutJob(Action action, String job, Reason reason) {
        return new Decision(action, job, WHOLE_JOB, 0, "", reason, 0);
    }

    /**
     * Creates a decision about one attempt.
     *
     * @param action the action
     * @param attempt the attempt
     * @param reason the reason
     * @return the decision
     */
    public static Decision aboutAttempt(Action action, Attempt attempt, Reason reason) {
        return new Decision(action, attempt.job(), attempt.task(), attempt.number(), attempt.worker(), reason, 0);
    }

    /**
     * Returns this decision with a lease.
     *
     * @param lengthMs the length of the lease in milliseconds
     * @return the decision
     */
    public Decision withLease(long lengthMs) {
        return new Decision(action, job, task, attempt, worker, reason, lengthMs);
    }

    /**
     * Returns the attempt that this decision is about.
     *
     * @return the attempt
     * @throws IllegalStateException if this decision is about a whole job
     */
    public Attempt toAttempt() {
        if (task == WHOLE_JOB) {
            throw new IllegalStateException("expected: a decision about an attempt\n  actual: " + this);
        }
        return new Attempt(job, task, attempt, worker);
    }
}
