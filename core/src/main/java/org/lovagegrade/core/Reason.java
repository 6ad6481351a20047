package org.lovagegrade.core;

/** Why a decision was taken. */
public enum Reason {
    /** The job passed all checks. */
    ADMITTED("admitted"),
    /** No such workspace. */
    UNKNOWN_WORKSPACE("unknownTeam"),
    /** No such class. */
    UNKNOWN_CLASS("unknownClass"),
    /** A job of this id was submitted before. */
    DUPLICATE_JOB("duplicateJob"),
    /** A size or count is not positive. */
    BAD_SIZE("badSize"),
    /** The best worker for a waiting task. */
    FITS("fits"),
    /** All tasks of a gang at once. */
    GANG_FITS("gangFits"),
    /** One task to try out a worker that failed others. */
    PROBE("probe"),
    /** The task ran to its end. */
    COMPLETED("completed"),
    /** The worker stopped the task as asked. */
    STOPPED("stopped"),
    /** The task failed by itself. */
    TASK_FAILED("taskFailed"),
    /** The worker restarted and holds nothing any more. */
    WORKER_RESTARTED("workerRestarted"),
    /** The worker was not heard until the lease was surely over. */
    WORKER_SILENT("workerSilent"),
    /** The job was cancelled. */
    CANCELLED("cancelled"),
    /** Another task of the gang was lost. */
    GANG_MEMBER_LOST("gangMemberLost"),
    /** Urgent work would miss its waiting target. */
    URGENT_WORK_WAITS("urgentWorkWaits"),
    /** Another workspace is below its share. */
    RESTORES_SHARE("restoresShare"),
    /** The workspace runs more than its limit. */
    OVER_WORKSPACE_LIMIT("overTeamLimit"),
    /** The worker runs more than it has. */
    OVER_WORKER_CAPACITY("overWorkerCapacity"),
    /** A task is larger than any worker. */
    LARGER_THAN_ANY_WORKER("largerThanAnyWorker"),
    /** The gang is larger than all workers together. */
    LARGER_THAN_CELL("largerThanCell"),
    /** The job is larger than its workspace's limit. */
    LARGER_THAN_WORKSPACE_LIMIT("largerThanTeamLimit"),
    /** The task failed too often on workers that run others well. */
    FAILED_TOO_OFTEN("failedTooOften"),
    /** The job waits for room. */
    NO_ROOM("noRoom"),
    /** The job waits until its workspace runs less. */
    WORKSPACE_AT_LIMIT("teamAtLimit"),
    /** The job waits a while after failures. */
    BACKING_OFF("backingOff"),
    /** All tasks of the job are placed or ended. */
    NOT_WAITING("notWaiting");

    private final String text;

    Reason(String text) {
        this.text = text;
    }

    /**
     * The name in decision logs.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
