package org.lovagegrade.graph.leader;

/** Estimates a worker's own clock and tracks the leases that this leader granted on it. */
final class WorkerClock {
    /** The lowest rate of a worker's clock relative to the leader's. */
    private static final double MIN_CLOCK_RATE = 0.98;
    /** Allows for timers that fire late on the worker. */
    private static final long TIMER_SLACK_MS = 300;

    /** The latest reading of the worker's clock. */
    private long lastReadingMs;
    /** When the latest reading arrived, on the leader's clock. */
    private long lastReadAtMs;

    private long grantedUntilMs;
    private boolean isKnown;

    /** Records a reading of the worker's clock; one that is older than the latest is ignored. */
    void update(long workerClockMs, long nowMs) {
        if (!isKnown || workerClockMs >= lastReadingMs) {
            lastReadingMs = workerClockMs;
            lastReadAtMs = nowMs;
            isKnown = true;
        }
    }

    boolean isKnown() {
        return isKnown;
    }

    /** Grants a lease from now on and returns its expiry on the worker's clock. */
    long grant(long leaseMs, long nowMs) {
        long untilMs = lastReadingMs + (nowMs - lastReadAtMs) + leaseMs;
        grantedUntilMs = Math.max(grantedUntilMs, untilMs);
        return untilMs;
    }

    /** The latest expiry of all leases granted so far, on the worker's clock. */
    long grantedUntilMs() {
        return grantedUntilMs;
    }

    /** When every lease granted by this leader is sure to have expired, on the leader's clock. */
    long leasesExpiredAtMs() {
        return lastReadAtMs
                + (long) Math.ceil(Math.max(0, grantedUntilMs - lastReadingMs) / MIN_CLOCK_RATE)
                + TIMER_SLACK_MS;
    }

    /** When every lease granted by an earlier leader is sure to have expired, on this leader's clock. */
    static long earlierLeasesExpiredAtMs(long leaseMs, long leadsSinceMs) {
        return leadsSinceMs + (long) Math.ceil(leaseMs / MIN_CLOCK_RATE) + TIMER_SLACK_MS;
    }
}
