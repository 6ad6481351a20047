package org.lovagegrade.core.internal;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Resources;

/**
 * Estimates by which factor jobs of a workspace and class exceed their declared sizes, as an exponentially weighted
 * moving average over usage reports, which arrive with a delay.
 */
final class SizeCorrection {
    private static final double SMOOTHING_FACTOR = 0.2;
    private static final double MAX_FACTOR = 4.0;

    private record Key(String workspace, String workClass) {}

    private record Factors(double cores, double memory) {}

    private static final Factors UNCORRECTED = new Factors(1, 1);

    private final Map<Key, Factors> factorsByKey = new HashMap<>();

    void observe(Job job, Resources used) {
        Key key = new Key(job.workspace(), job.workClass());
        Factors previous = factorsByKey.getOrDefault(key, UNCORRECTED);
        factorsByKey.put(
                key,
                new Factors(
                        smooth(
                                previous.cores(),
                                used.milliCores(),
                                job.perTask().milliCores()),
                        smooth(previous.memory(), used.memoryMb(), job.perTask().memoryMb())));
    }

    /** The size to plan with per task; never below the declared size. */
    Resources plannedFor(Job job) {
        Factors factors = factorsByKey.getOrDefault(new Key(job.workspace(), job.workClass()), UNCORRECTED);
        Resources declared = job.perTask();
        return Resources.of(
                scaled(declared.milliCores(), factors.cores()),
                scaled(declared.memoryMb(), factors.memory()),
                declared.accelerators());
    }

    private static double smooth(double previous, long used, long declared) {
        double observed = declared == 0 ? 1 : Math.min(MAX_FACTOR, Math.max(1, (double) used / declared));
        return previous + SMOOTHING_FACTOR * (observed - previous);
    }

    private static long scaled(long amount, double factor) {
        return factor <= 1 ? amount : (long) Math.ceil(amount * factor);
    }
}
