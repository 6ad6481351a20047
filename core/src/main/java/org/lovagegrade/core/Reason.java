package org.lovagegrade.core;

/** The reason of a decision or of a job's wait. */
public enum Reason {
    /** The job passed all checks. */
    ADMITTED("admitted"),
    /** The workspace does not exist. */
    UNKNOWN_WORKSPACE("unknownTeam"),
    /** The class does not exist. */
    UNKNOWN_CLASS("unknownClass"),
    /** A job with this id was submitted before. */
    DUPLICATE_JOB("duplicateJob"),
    /** A size or count is not positive. */
    BAD_SIZE("badSize"),
    /** A worker fits a waiting task. */
    FITS("fits"),
    /** Workers fit all tasks of a gang at once. */
    GANG_FITS("gangFits"),
    /** A single task probes a suspect worker. */
    PROBE("probe"),
    /** The task completed. */
    COMPLETED("completed"),
    /** The worker stopped the task as requested. */
    STOPPED("stopped"),
    /** The task failed by itself. */
    TASK_FAILED("taskFailed"),
    /** The worker restarted and lost its attempts. */
    WORKER_RESTARTED("workerRestarted"),
    /** The worker restarted just after another one, so that they had the fault in common. */
    WORKERS_RESTARTED("workersRestarted"),
    /** The worker was unresponsive until the lease expired. */
    WORKER_SILENT("workerSilent"),
    /** The job was cancelled. */
    CANCELLED("cancelled"),
    /** Another task of the gang was lost. */
    GANG_MEMBER_LOST("gangMemberLost"),
    /** An urgent job would miss its wait target. */
    URGENT_WORK_WAITS("urgentWorkWaits"),
    /** Another workspace is below its share. */
    RESTORES_SHARE("restoresShare"),
    /** The workspace uses more than its limit. */
    OVER_WORKSPACE_LIMIT("overTeamLimit"),
    /** The tasks on the worker use more than its capacity. */
    OVER_WORKER_CAPACITY("overWorkerCapacity"),
    /** A task needs more than any worker has. */
    LARGER_THAN_ANY_WORKER("largerThanAnyWorker"),
    /** The gang does not fit on all workers together. */
    LARGER_THAN_CELL("largerThanCell"),
    /** The job needs more than its workspace's limit. */
    LARGER_THAN_WORKSPACE_LIMIT("largerThanTeamLimit"),
    /** The task failed too often on healthy workers. */
    FAILED_TOO_OFTEN("failedTooOften"),
    /** Workers restarted again and again under a task of the job. */
    CRASHES_WORKERS("crashesWorkers"),
    /** The job waits for free capacity. */
    NO_ROOM("noRoom"),
    /** The job waits because its workspace is at its limit. */
    WORKSPACE_AT_LIMIT("teamAtLimit"),
    /** The job waits for a backoff delay after failures. */
    BACKING_OFF("backingOff"),
    /** No task of the job waits. */
    NOT_WAITING("notWaiting");

    private final String text;

    Reason(String text) {
        this.text = text;
    }

    /**
     * Returns the name used in decision logs.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
