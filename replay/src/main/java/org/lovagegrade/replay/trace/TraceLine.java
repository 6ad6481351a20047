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
     * When it happens.
     *
     * @return the trace's time in milliseconds
     */
    long atMs();

    /** A worker is announced. */
    record WorkerLine(long atMs, Worker worker) implements TraceLine {}

    /** A workspace is created. */
    record WorkspaceLine(long atMs, Workspace workspace) implements TraceLine {}

    /** A class is created. */
    record ClassLine(long atMs, WorkClass workClass) implements TraceLine {}

    /**
     * A job is submitted.
     *
     * @param atMs the trace's time in milliseconds
     * @param job the job
     * @param actualRunMs how long each task runs, empty for one that runs until it is cancelled
     * @param used what each task uses, reported later; the declared size if the trace does not say
     */
    record SubmitLine(long atMs, Job job, OptionalLong actualRunMs, Resources used) implements TraceLine {}

    /** A job is cancelled. */
    record CancelLine(long atMs, String job) implements TraceLine {}

    /** A worker falls silent. */
    record WorkerLostLine(long atMs, String worker) implements TraceLine {}

    /** A worker announces itself anew, empty. */
    record WorkerBackLine(long atMs, String worker) implements TraceLine {}

    /** A worker begins or ceases to fail every task started there. */
    record WorkerFailsLine(long atMs, String worker, boolean failing) implements TraceLine {}

    /** A workspace's limits change. */
    record LimitLine(long atMs, String workspace, Limits limits) implements TraceLine {}

    /** A stated outcome, checked at the end. */
    record OutcomeLine(long atMs, String measure, Double atMost, Double atLeast) implements TraceLine {}
}
