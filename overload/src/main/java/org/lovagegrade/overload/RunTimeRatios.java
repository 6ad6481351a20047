package org.lovagegrade.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures how far the run time estimates of each queue are off, as the ratio of actual to estimated time.
 *
 * <p>Example: {@code long expectedMs = Math.round(estimateMs * ratios.of("queue"));}
 */
public final class RunTimeRatios {
    private static final double MIN_RATIO = 0.5;
    private static final double MAX_RATIO = 3;
    /** The ratio of a queue begins at 1, with the weight of this many runs. */
    private static final int PRIOR_RUNS = 8;
    /** The sums are halved at this many runs, so that recent runs weigh more. */
    private static final int WINDOW_RUNS = 256;

    private final Map<String, Sums> sumsByQueue = new HashMap<>();

    private record Sums(double runs, double estimatedMs, double actualMs) {
        Sums plus(long estimateMs, long runMs) {
            Sums sum = new Sums(runs + 1, estimatedMs + estimateMs, actualMs + runMs);
            return sum.runs < WINDOW_RUNS ? sum : new Sums(sum.runs / 2, sum.estimatedMs / 2, sum.actualMs / 2);
        }

        double ratio() {
            double priorMs = PRIOR_RUNS * estimatedMs / runs;
            return Math.min(MAX_RATIO, Math.max(MIN_RATIO, (actualMs + priorMs) / (estimatedMs + priorMs)));
        }
    }

    /**
     * Notes a completed run; one without an estimate is ignored.
     *
     * @param queue the name of the queue
     * @param estimateMs the estimated run time, in milliseconds
     * @param actualMs the actual run time, in milliseconds
     */
    public void completed(String queue, long estimateMs, long actualMs) {
        if (estimateMs > 0) {
            sumsByQueue.merge(
                    queue, new Sums(1, estimateMs, actualMs), (sums, _run) -> sums.plus(estimateMs, actualMs));
        }
    }

    /**
     * The factor by which estimates of a queue are to be multiplied.
     *
     * @param queue the name of the queue
     * @return a number from 0.5 to 3; 1 without completed runs
     */
    public double of(String queue) {
        Sums sums = sumsByQueue.get(queue);
        return sums == null ? 1 : sums.ratio();
    }
}
