package org.lovagegrade.graph.leader;

/** What a leader knows of a worker's own clock and of the lease that it granted there. */
final class WorkerClock {
    /** A worker's clock may run this much slower than the leader's. */
    private static final double SLOWEST = 0.98;
    /** Covers timers that fire late on the worker. */
    private static final long SLACK_MS = 300;

    private long clockMs;
    private long heardAtMs;
    private long grantedUntilMs;
    private boolean isKnown;

    void heard(long workerClockMs, long nowMs) {
        if (!isKnown || workerClockMs >= clockMs) {
            clockMs = workerClockMs;
            heardAtMs = nowMs;
            isKnown = true;
        }
    }

    boolean isKnown() {
        return isKnown;
    }

    /** Until when a lease of a length lasts that is granted now, on the worker's clock. */
    long grant(long leaseMs, long nowMs) {
        long untilMs = clockMs + (nowMs - heardAtMs) + leaseMs;
        grantedUntilMs = Math.max(grantedUntilMs, untilMs);
        return untilMs;
    }

    /** Until when the longest lease lasts that was granted so far, on the worker's clock. */
    long grantedUntilMs() {
        return grantedUntilMs;
    }

    /** When every lease that this leader granted has surely passed, on the leader's clock. */
    long lapsedAtMs() {
        return heardAtMs + (long) Math.ceil(Math.max(0, grantedUntilMs - clockMs) / SLOWEST) + SLACK_MS;
    }

    /** When every lease that an earlier leader granted has surely passed, on the leader's clock. */
    static long lapsedAtMs(long leaseMs, long leadsSinceMs) {
        return leadsSinceMs + (long) Math.ceil(leaseMs / SLOWEST) + SLACK_MS;
    }
}
