package org.lovagegrade.graph.leader;

/** Measures how long stops take, from the decision until the capacity is free. */
final class StopTimes {
    private static final int MIN_STOPS = 5;
    /** The weight of the latest stop in the averages. */
    private static final double SMOOTHING = 0.1;
    /** Mean and mean deviations of most distributions add up to more than nine of ten values. */
    private static final double DEVIATIONS = 2;

    private final long maxMs;
    private int stops;
    private double meanMs;
    private double deviationMs;

    /**
     * Creates the measurement.
     *
     * @param maxMs how long a worker may take to stop a run, in milliseconds; assumed until enough stops were measured
     */
    StopTimes(long maxMs) {
        this.maxMs = maxMs;
    }

    void record(long tookMs) {
        double weight = Math.max(SMOOTHING, 1.0 / (stops + 1));
        deviationMs += weight * (Math.abs(tookMs - meanMs) * (stops == 0 ? 0 : 1) - deviationMs);
        meanMs += weight * (tookMs - meanMs);
        stops++;
    }

    long expectedMs() {
        return stops < MIN_STOPS ? maxMs : Math.min(maxMs, Math.round(meanMs + DEVIATIONS * deviationMs));
    }
}
