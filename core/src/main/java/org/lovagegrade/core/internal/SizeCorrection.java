package org.lovagegrade.core.internal;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Resources;

/** Learns from lagged usage by how much the jobs of a workspace and class pass their declared sizes. */
final class SizeCorrection {
    private static final double WEIGHT_OF_NEW_REPORT = 0.2;
    private static final double GREATEST_FACTOR = 4.0;

    private record Key(String workspace, String workClass) {}

    private record Factors(double cores, double memory) {}

    private static final Factors TRUTHFUL = new Factors(1, 1);

    private final Map<Key, Factors> learned = new HashMap<>();

    void observe(Job job, Resources used) {
        Key key = new Key(job.workspace(), job.workClass());
        Factors former = learned.getOrDefault(key, TRUTHFUL);
        learned.put(
                key,
                new Factors(
                        blend(former.cores(), used.milliCores(), job.perTask().milliCores()),
                        blend(former.memory(), used.memoryMb(), job.perTask().memoryMb())));
    }

    /** The size to plan with; never below the declared one. */
    Resources plannedFor(Job job) {
        Factors factors = learned.getOrDefault(new Key(job.workspace(), job.workClass()), TRUTHFUL);
        Resources declared = job.perTask();
        return Resources.of(
                scaled(declared.milliCores(), factors.cores()),
                scaled(declared.memoryMb(), factors.memory()),
                declared.accelerators());
    }

    private static double blend(double former, long used, long declared) {
        double seen = declared == 0 ? 1 : Math.min(GREATEST_FACTOR, Math.max(1, (double) used / declared));
        return former + WEIGHT_OF_NEW_REPORT * (seen - former);
    }

    private static long scaled(long amount, double factor) {
        return factor <= 1 ? amount : (long) Math.ceil(amount * factor);
    }
}
