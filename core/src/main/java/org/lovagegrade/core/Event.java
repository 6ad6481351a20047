package org.lovagegrade.core;

import java.util.List;

/**
 * What the scheduler is told.
 *
 * <p>Example: {@code scheduler.apply(nowMs, new Event.JobSubmitted(job));}
 */
public sealed interface Event {
    /**
     * A workspace is new or changed.
     *
     * @param workspace the workspace as it is now
     */
    record WorkspaceSet(Workspace workspace) implements Event {}

    /**
     * A class is new or changed.
     *
     * @param workClass the class as it is now
     */
    record ClassSet(WorkClass workClass) implements Event {}

    /**
     * A worker announced itself, new or after a restart; it holds no attempts.
     *
     * @param worker the worker
     */
    record WorkerAnnounced(Worker worker) implements Event {}

    /**
     * A worker was not heard for a while; it may still run what it holds.
     *
     * @param worker the worker's id
     */
    record WorkerUnresponsive(String worker) implements Event {}

    /**
     * A worker is heard that did not restart: after a silence, or for the first time by this scheduler.
     *
     * @param worker the worker; it still holds its attempts
     */
    record WorkerResponsive(Worker worker) implements Event {}

    /**
     * A worker takes no new attempts, since it is leaving.
     *
     * @param worker the worker's id
     */
    record WorkerLeaving(String worker) implements Event {}

    /**
     * A job was submitted.
     *
     * @param job the job
     */
    record JobSubmitted(Job job) implements Event {}

    /**
     * A job that was accepted earlier is taken over from another scheduler.
     *
     * @param job the job
     * @param held the attempts that are or may be running
     * @param endedTasks the tasks that ran to their end
     * @param attempts the number of attempts made so far, by task index
     */
    record JobRestored(Job job, List<Attempt> held, List<Integer> endedTasks, List<Integer> attempts)
            implements Event {}

    /**
     * A job is wanted no more.
     *
     * @param job the job's id
     */
    record JobCancelled(String job) implements Event {}

    /**
     * A worker says that an attempt ran to its end.
     *
     * @param attempt the attempt
     */
    record AttemptEnded(Attempt attempt) implements Event {}

    /**
     * A worker says that an attempt failed.
     *
     * @param attempt the attempt
     */
    record AttemptFailed(Attempt attempt) implements Event {}

    /**
     * A worker says that it stopped an attempt as asked.
     *
     * @param attempt the attempt
     */
    record AttemptStopped(Attempt attempt) implements Event {}

    /**
     * A worker says that it checkpointed an attempt as asked.
     *
     * @param attempt the attempt
     */
    record AttemptCheckpointed(Attempt attempt) implements Event {}

    /**
     * An attempt's lease is surely over.
     *
     * @param attempt the attempt
     */
    record LeaseExpired(Attempt attempt) implements Event {}

    /**
     * A worker reports what an attempt used a while ago.
     *
     * @param attempt the attempt
     * @param used what it used
     */
    record UsageReported(Attempt attempt, Resources used) implements Event {}
}
