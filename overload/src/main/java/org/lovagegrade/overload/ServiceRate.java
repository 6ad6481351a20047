package org.lovagegrade.overload;

import java.util.TreeMap;

/**
 * The rate at which work leaves the backlog, measured while work waits, and the rate at which work arrives.
 *
 * <p>Without measurements, as after an election, it is the capacity of the workers. It follows a change of capacity at
 * once, since it is measured as a part of the capacity.
 */
public final class ServiceRate {
    /** A burst is expected to last as long as the time over which it is measured. */
    static final long BURST_MS = 5_000;

    private static final long LONG_RUN_MS = 60_000;
    private static final long EFFICIENCY_WINDOW_MS = 20_000;
    /** Without measurements the workers are taken to be fully used, with the weight of measurements of this time. */
    private static final double PRIOR_MS = 5_000;
    /** Bounds the effect of waiting work that is held back by limits or tickets although capacity is free. */
    private static final double MIN_EFFICIENCY = 0.5;
    /** Arrivals in the long run leave at least this part of the rate to work that waits. */
    private static final double MIN_LONG_RUN_SHARE = 0.1;

    private static final double MILLI_CORES_PER_CORE = 1_000;

    private final RunTimeRatios ratios = new RunTimeRatios();
    private final TreeMap<Integer, Arrivals> arrivalsByPriority = new TreeMap<>();
    private final RateMeter servedCoreMs = new RateMeter(EFFICIENCY_WINDOW_MS);
    private final RateMeter offeredCoreMs = new RateMeter(EFFICIENCY_WINDOW_MS);
    private double capacityCores;
    private long observedAtMs;
    private boolean wasBacklogged;

    private record Arrivals(RateMeter burst, RateMeter longRun) {}

    /** The work that is expected to arrive, in core-milliseconds per millisecond: during a burst, and after it. */
    record ExpectedArrivals(double burst, double longRun) {}

    /**
     * The measured ratios of actual to estimated run time.
     *
     * @return the ratios by queue
     */
    public RunTimeRatios ratios() {
        return ratios;
    }

    /**
     * Sets the capacity of the workers that can be used.
     *
     * @param milliCores thousandths of a core; 0 if no worker is known
     */
    public void setCapacity(long milliCores) {
        capacityCores = milliCores / MILLI_CORES_PER_CORE;
    }

    /**
     * Notes accepted work.
     *
     * @param priority its priority
     * @param coreMs the work, in core-milliseconds
     * @param nowMs the present time, in milliseconds since 1970
     */
    public void arrived(int priority, long coreMs, long nowMs) {
        Arrivals arrivals = arrivalsByPriority.computeIfAbsent(
                priority, _priority -> new Arrivals(new RateMeter(BURST_MS), new RateMeter(LONG_RUN_MS)));
        arrivals.burst().add(coreMs, nowMs);
        arrivals.longRun().add(coreMs, nowMs);
    }

    /**
     * Notes work that has left; to be called regularly, also without work.
     *
     * @param coreMs the work since the last call, in core-milliseconds
     * @param isBacklogged whether more work waits than the workers can start
     * @param nowMs the present time, in milliseconds since 1970
     */
    public void left(long coreMs, boolean isBacklogged, long nowMs) {
        if (isBacklogged && wasBacklogged) {
            servedCoreMs.add(coreMs, nowMs);
            offeredCoreMs.add(Math.round(Math.max(0, nowMs - observedAtMs) * capacityCores), nowMs);
        }
        wasBacklogged = isBacklogged;
        observedAtMs = nowMs;
    }

    /**
     * The rate at which waiting work can leave.
     *
     * @param nowMs the present time, in milliseconds since 1970
     * @return core-milliseconds per millisecond; 0 if no worker is known
     */
    public double coreMsPerMs(long nowMs) {
        double prior = capacityCores * PRIOR_MS / EFFICIENCY_WINDOW_MS;
        double offered = offeredCoreMs.perMs(nowMs) + prior;
        double efficiency = offered > 0 ? (servedCoreMs.perMs(nowMs) + prior) / offered : 1;
        return capacityCores * Math.min(1, Math.max(MIN_EFFICIENCY, efficiency));
    }

    /** The work that is expected to arrive with a priority number below the given one, which goes first. */
    ExpectedArrivals arrivalsBefore(int priority, long nowMs) {
        return expected(arrivalsByPriority.headMap(priority).values(), nowMs);
    }

    /** The work that is expected to arrive with any priority. */
    ExpectedArrivals arrivals(long nowMs) {
        return expected(arrivalsByPriority.values(), nowMs);
    }

    private ExpectedArrivals expected(Iterable<Arrivals> priorities, long nowMs) {
        double burst = 0;
        double longRun = 0;
        for (Arrivals arrivals : priorities) {
            burst += arrivals.burst().perMs(nowMs);
            longRun += arrivals.longRun().perMs(nowMs);
        }
        return new ExpectedArrivals(burst, Math.min(longRun, coreMsPerMs(nowMs) * (1 - MIN_LONG_RUN_SHARE)));
    }
}
