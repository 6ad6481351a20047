package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.RunEndProto;

/** Is notified of the changes that the leader's state machine applies. */
public interface GraphStateListener {
    /** Ignores all notifications. */
    GraphStateListener NONE = new GraphStateListener() {};

    /**
     * A run was started.
     *
     * @param run the run, which its worker now has to be ordered to start
     */
    default void runStarted(RunRecord run) {}

    /**
     * A proposed start was rejected, since its job, task or worker, or those of another member of its gang, had changed
     * in the meantime, or the worker's failure domain had been evacuated.
     *
     * @param key the run that doesn't start
     */
    default void startRejected(RunKey key) {}

    /**
     * A run ended.
     *
     * @param run the run
     * @param runEnd how it ended
     */
    default void runEnded(RunRecord run, RunEndProto runEnd) {}

    /**
     * A run became obsolete.
     *
     * @param run the run, which now has to be stopped
     */
    default void runObsolete(RunRecord run) {}

    /**
     * A job was accepted.
     *
     * @param job the job
     */
    default void jobAccepted(JobRecord job) {}

    /**
     * A job finished.
     *
     * @param job the job
     */
    default void jobFinished(JobRecord job) {}

    /**
     * A worker was added or changed, or a new incarnation replaced it.
     *
     * @param worker the worker
     */
    default void workerChanged(WorkerRecord worker) {}

    /**
     * A worker is known to have begun a task of a job, for the first time.
     *
     * @param job the job
     */
    default void jobBegun(JobRecord job) {}

    /**
     * An incarnation of a worker was removed.
     *
     * @param worker the removed incarnation
     */
    default void workerRemoved(WorkerRecord worker) {}

    /**
     * A failure domain was evacuated or returned to service.
     *
     * @param evacuation the order
     */
    default void evacuationChanged(Evacuation evacuation) {}

    /** A new version of the configuration is in force. */
    default void configurationChanged() {}
}
