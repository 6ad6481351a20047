package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.graph.machine.StepRecord;

/**
 * Predicts run times from the estimates of callers, corrected by the measured ratio of actual to estimated run time of
 * each queue. Recent runs count more than earlier ones.
 *
 * <p>Example: {@code long endMs = nowMs + runTimes.expectedMs(step);}
 */
public final class RunTimes {
    /** A ratio of fewer runs says more about these runs than about their queue. */
    private static final double MIN_RUNS = 10;
    /** The weight of the earlier runs when one is added; the last 50 runs make up most of the ratio. */
    private static final double DECAY = 0.98;
    /** Bounds the correction, so that a few odd runs can't make every prediction useless. */
    private static final double MIN_RATIO = 0.5;

    private static final double MAX_RATIO = 2;

    private final Map<String, Totals> totalsByQueue = new HashMap<>();

    /** Sums over the completed runs of a queue. */
    private static final class Totals {
        private double runs;
        private double actualMs;
        private double estimatedMs;

        void add(long actual, long estimated) {
            runs = runs * DECAY + 1;
            actualMs = actualMs * DECAY + actual;
            estimatedMs = estimatedMs * DECAY + estimated;
        }

        double ratio() {
            return runs < MIN_RUNS ? 1 : Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualMs / estimatedMs));
        }
    }

    /**
     * Records a run that has completed, and had started without a checkpoint.
     *
     * @param step the step of its task
     * @param actualMs how long it took, in milliseconds
     */
    public void record(StepRecord step, long actualMs) {
        long estimatedMs = step.spec().getEstimateMs();
        if (estimatedMs > 0) {
            totalsByQueue.computeIfAbsent(queueOf(step), _queue -> new Totals()).add(actualMs, estimatedMs);
        }
    }

    /**
     * Predicts how long a run of a step takes.
     *
     * @param step the step
     * @return the expected time in milliseconds, {@link CapacityRelease#NEVER} for a lasting step, or
     *     {@link CapacityRelease#UNKNOWN} without an estimate
     */
    public long expectedMs(StepRecord step) {
        if (step.spec().getLasting()) {
            return CapacityRelease.NEVER;
        }
        if (step.spec().getEstimateMs() <= 0) {
            return CapacityRelease.UNKNOWN;
        }
        Totals totals = totalsByQueue.get(queueOf(step));
        return Math.round(step.spec().getEstimateMs() * (totals == null ? 1 : totals.ratio()));
    }

    private static String queueOf(StepRecord step) {
        return step.job().graph().getQueue();
    }
}
