package org.lovagegrade.overload;

/** Measures an amount per millisecond as a moving average with exponentially falling weights. */
final class RateMeter {
    private final double windowMs;
    private double sum;
    private long updatedAtMs;

    /** Creates a meter in which the weight of an amount falls by a factor of e in {@code windowMs}. */
    RateMeter(long windowMs) {
        this.windowMs = windowMs;
    }

    void add(long amount, long nowMs) {
        sum = sum(nowMs) + amount;
        updatedAtMs = Math.max(updatedAtMs, nowMs);
    }

    double perMs(long nowMs) {
        return sum(nowMs) / windowMs;
    }

    private double sum(long nowMs) {
        return sum * Math.exp(-Math.max(0, nowMs - updatedAtMs) / windowMs);
    }
}
