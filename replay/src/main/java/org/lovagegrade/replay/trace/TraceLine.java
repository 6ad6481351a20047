package org.lovagegrade.replay.trace;

import java.util.OptionalLong;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;

/** One line of a trace. */
public sealed interface TraceLine {
    /**
     * Returns the time of the event.
     *
     * @return the time in milliseconds, in the time of the trace
     */
    long atMs();

    /** A worker is announced. */
    record WorkerLine(long atMs, Worker worker) implements TraceLine {}

    /** A workspace is created. */
    record WorkspaceLine(long atMs, Workspace workspace) implements TraceLine {}

    /** A work class is created. */
    record ClassLine(long atMs, WorkClass workClass) implements TraceLine {}

    /**
     * A job is submitted.
     *
     * @param atMs the time in milliseconds, in the time of the trace
     * @param job the job
     * @param actualRunMs the run time of each task in milliseconds, empty if it runs until it is cancelled
     * @param used the resources that each task uses, as reported after its start; its declared size if the trace has none
     */
    record SubmitLine(long atMs, Job job, OptionalLong actualRunMs, Resources used) implements TraceLine {}

    /** A job is cancelled. */
    record CancelLine(long atMs, String job) implements TraceLine {}

    /** A worker becomes unresponsive. */
    record WorkerLostLine(long atMs, String worker) implements TraceLine {}

    /** A worker announces itself again after a restart, without tasks. */
    record WorkerBackLine(long atMs, String worker) implements TraceLine {}

    /** A worker starts or stops failing every task that is started on it. */
    record WorkerFailsLine(long atMs, String worker, boolean failing) implements TraceLine {}

    /** A workspace's limits change. */
    record LimitLine(long atMs, String workspace, Limits limits) implements TraceLine {}

    /** An expected outcome, which is checked at the end: a measure and its inclusive bounds, null if absent. */
    record OutcomeLine(long atMs, String measure, Double atMost, Double atLeast) implements TraceLine {}
}
