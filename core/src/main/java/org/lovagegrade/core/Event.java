package org.lovagegrade.core;

import java.util.List;

/**
 * An input event of the scheduler.
 *
 * <p>Example: {@code scheduler.apply(nowMs, new Event.JobSubmitted(job));}
 */
public sealed interface Event {
    /**
     * A workspace was added or changed.
     *
     * @param workspace the current workspace
     */
    record WorkspaceSet(Workspace workspace) implements Event {}

    /**
     * A class was added or changed.
     *
     * @param workClass the current class
     */
    record ClassSet(WorkClass workClass) implements Event {}

    /**
     * A worker announced itself, for the first time or after a restart; it holds no attempts.
     *
     * @param worker the worker
     */
    record WorkerAnnounced(Worker worker) implements Event {}

    /**
     * A worker became unresponsive; it may still run its attempts.
     *
     * @param worker the worker's id
     */
    record WorkerUnresponsive(String worker) implements Event {}

    /**
     * A worker that did not restart is responsive again, or made contact with this scheduler for the first time.
     *
     * @param worker the worker; it still holds its attempts
     */
    record WorkerResponsive(Worker worker) implements Event {}

    /**
     * A worker accepts no new attempts because it is leaving.
     *
     * @param worker the worker's id
     */
    record WorkerLeaving(String worker) implements Event {}

    /**
     * A failure domain was evacuated or returned to service; what runs there continues.
     *
     * @param failureDomain the failure domain
     * @param active whether its workers get no new attempts from now on
     */
    record EvacuationSet(String failureDomain, boolean active) implements Event {}

    /**
     * A job was submitted.
     *
     * @param job the job
     */
    record JobSubmitted(Job job) implements Event {}

    /**
     * A job that was accepted earlier is taken over from a previous scheduler.
     *
     * @param job the job
     * @param held the attempts that may still be running
     * @param endedTasks the indexes of the completed tasks
     * @param attempts the number of attempts made so far, by task index
     * @param restarts the restarts of workers so far, by task index
     */
    record JobRestored(
            Job job,
            List<Attempt> held,
            List<Integer> endedTasks,
            List<Integer> attempts,
            List<WorkerRestarts> restarts)
            implements Event {}

    /**
     * A job was cancelled.
     *
     * @param job the job's id
     */
    record JobCancelled(String job) implements Event {}

    /**
     * A worker reports that an attempt completed.
     *
     * @param attempt the attempt
     */
    record AttemptEnded(Attempt attempt) implements Event {}

    /**
     * A worker reports that an attempt failed.
     *
     * @param attempt the attempt
     */
    record AttemptFailed(Attempt attempt) implements Event {}

    /**
     * A worker reports that it stopped an attempt as requested.
     *
     * @param attempt the attempt
     */
    record AttemptStopped(Attempt attempt) implements Event {}

    /**
     * A worker reports that it checkpointed an attempt as requested.
     *
     * @param attempt the attempt
     */
    record AttemptCheckpointed(Attempt attempt) implements Event {}

    /**
     * An attempt's lease has expired, including the bound on clock drift.
     *
     * @param attempt the attempt
     */
    record LeaseExpired(Attempt attempt) implements Event {}

    /**
     * A worker reports the resources that an attempt used; the report arrives with a delay.
     *
     * @param attempt the attempt
     * @param used the resources used
     */
    record UsageReported(Attempt attempt, Resources used) implements Event {}
}
