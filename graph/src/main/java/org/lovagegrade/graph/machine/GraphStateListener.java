package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.RunEndProto;

/** Hears what the leader's machine applied. */
public interface GraphStateListener {
    /** Hears nothing. */
    GraphStateListener NONE = new GraphStateListener() {};

    /**
     * A run was started.
     *
     * @param run the run, to be ordered from its worker
     */
    default void runStarted(RunRecord run) {}

    /**
     * A start that was proposed did not come about.
     *
     * @param key the run
     */
    default void startRejected(RunKey key) {}

    /**
     * A run ended.
     *
     * @param run the run
     * @param how how it ended
     */
    default void runEnded(RunRecord run, RunEndProto how) {}

    /**
     * A run serves no purpose any more.
     *
     * @param run the run, to be stopped
     */
    default void runObsolete(RunRecord run) {}

    /**
     * A job was accepted.
     *
     * @param job the job
     */
    default void jobAccepted(JobRecord job) {}

    /**
     * A job came to its end.
     *
     * @param job the job
     */
    default void jobFinished(JobRecord job) {}

    /**
     * A worker was taken in, changed or replaced by a new life.
     *
     * @param worker the worker
     */
    default void workerChanged(WorkerRecord worker) {}

    /**
     * A life of a worker is gone.
     *
     * @param worker the worker
     */
    default void workerRemoved(WorkerRecord worker) {}

    /** Another version of the desired state is in force. */
    default void configurationChanged() {}
}
