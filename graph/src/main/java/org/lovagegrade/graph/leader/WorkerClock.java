package org.lovagegrade.graph.leader;

/** Estimates a worker's own clock and tracks the leases that this leader granted on it. */
final class WorkerClock {
    /** The lowest rate of a worker's clock relative to the leader's. */
    private static final double MIN_CLOCK_RATE = 0.98;
    /** Allows for timers that fire late on the worker. */
    private static final long TIMER_SLACK_MS = 300;
    /** Readings of one clock differ from the expected time by less than this. */
    private static final long READING_TOLERANCE_MS = 250;

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

    /**
     * Whether an answer to an order can only come from the incarnation whose clock this is. The clock of a later incarnation
     * starts anew after the latest reading, so that it shows less, unless this one had been up for a moment only.
     *
     * @param readingMs the time on the worker's clock in the answer
     * @param sentAtMs when the order was sent, on the leader's clock
     * @param nowMs when the answer arrived, on the leader's clock
     */
    boolean isOwnReading(long readingMs, long sentAtMs, long nowMs) {
        long latestMs = expectedMs(nowMs) + READING_TOLERANCE_MS;
        long laterIncarnationMs = nowMs - lastReadAtMs + READING_TOLERANCE_MS;
        return isKnown
                && !isOtherReading(readingMs, sentAtMs)
                && readingMs <= latestMs
                && readingMs > laterIncarnationMs;
    }

    /** Whether an answer to an order that was sent at the given time shows less than this clock did by then. */
    boolean isOtherReading(long readingMs, long sentAtMs) {
        long untilSentMs = sentAtMs - lastReadAtMs;
        double rate = untilSentMs > 0 ? MIN_CLOCK_RATE : 1;
        return isKnown && readingMs < lastReadingMs + untilSentMs * rate - READING_TOLERANCE_MS;
    }

    /** The expected time on the worker's clock. */
    long expectedMs(long nowMs) {
        return lastReadingMs + (nowMs - lastReadAtMs);
    }

    boolean isKnown() {
        return isKnown;
    }

    /** Grants a lease from now on and returns its expiry on the worker's clock. */
    long grant(long leaseMs, long nowMs) {
        long untilMs = expectedMs(nowMs) + leaseMs;
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

    /** When a lease of the given length is sure to have expired, on the leader's clock, if it began by the given time. */
    static long expiredAtMs(long beganByMs, long leaseMs) {
        return beganByMs + (long) Math.ceil(leaseMs / MIN_CLOCK_RATE) + TIMER_SLACK_MS;
    }
}
