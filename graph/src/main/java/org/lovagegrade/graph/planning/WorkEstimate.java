package org.lovagegrade.graph.planning;

import java.util.List;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.StepProto;

/**
 * The work of an occurrence of a job by the estimates of its steps.
 *
 * @param pathMs the critical path of the steps that are not done, in milliseconds
 * @param waitingCoreMs the work of tasks that wait, in core-milliseconds
 * @param startedCoreMs the work of tasks that are done or run, in core-milliseconds
 * @param waitingTasks the number of tasks that wait
 * @param gang whether a step that is not done is a gang
 * @param lasting whether a step that is not done runs until it is stopped
 */
public record WorkEstimate(
        long pathMs, long waitingCoreMs, long startedCoreMs, int waitingTasks, boolean gang, boolean lasting) {
    private static final long MILLI_CORES_PER_CORE = 1_000;

    /**
     * Estimates a job of which nothing is done.
     *
     * @param graph the job as submitted
     * @return the work of one occurrence
     */
    public static WorkEstimate whole(GraphProto graph) {
        return sum(
                graph.getStepsCount(),
                graph::getSteps,
                _step -> false,
                step -> graph.getSteps(step).getCount());
    }

    /**
     * Estimates what is left of an occurrence.
     *
     * @param steps the steps of the occurrence
     * @return the work
     */
    public static WorkEstimate left(List<StepRecord> steps) {
        return sum(
                steps.size(),
                step -> steps.get(step).spec(),
                step -> steps.get(step).isDone(),
                step -> steps.get(step).waitingTasks());
    }

    /**
     * The work that cores do in a time; parts of a core-millisecond are dropped.
     *
     * @param milliCores thousandths of a core
     * @param durationMs for how long, in milliseconds
     * @return the work, in core-milliseconds
     */
    public static long coreMs(long milliCores, long durationMs) {
        return milliCores * durationMs / MILLI_CORES_PER_CORE;
    }

    private static WorkEstimate sum(
            int steps, IntFunction<StepProto> specs, IntPredicate isDone, IntUnaryOperator waitingTasks) {
        long[] finishMs = new long[steps];
        long pathMs = 0;
        long waitingCoreMs = 0;
        long startedCoreMs = 0;
        int waiting = 0;
        boolean gang = false;
        boolean lasting = false;
        for (int step = 0; step < steps; step++) {
            StepProto spec = specs.apply(step);
            boolean isLeft = !isDone.test(step);
            finishMs[step] = startMs(spec, finishMs) + (isLeft ? spec.getEstimateMs() : 0);
            pathMs = Math.max(pathMs, finishMs[step]);
            long taskCoreMs = coreMs(spec.getPerTask().getMilliCores(), spec.getEstimateMs());
            int waitingOfStep = waitingTasks.applyAsInt(step);
            waiting += waitingOfStep;
            waitingCoreMs += waitingOfStep * taskCoreMs;
            startedCoreMs += (spec.getCount() - waitingOfStep) * taskCoreMs;
            gang |= isLeft && spec.getGang();
            lasting |= isLeft && spec.getLasting();
        }
        return new WorkEstimate(pathMs, waitingCoreMs, startedCoreMs, waiting, gang, lasting);
    }

    private static long startMs(StepProto spec, long[] finishMs) {
        long startMs = 0;
        for (int predecessor : spec.getAfterList()) {
            startMs = Math.max(startMs, finishMs[predecessor]);
        }
        return startMs;
    }
}
