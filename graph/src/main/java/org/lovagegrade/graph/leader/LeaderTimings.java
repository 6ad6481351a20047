package org.lovagegrade.graph.leader;

/**
 * The timings with which a leader drives workers, as configured for the deployment.
 *
 * @param leaseMs how long a worker may keep running tasks without a lease renewal, in milliseconds; above 0
 * @param maxLeaseMs to how long a worker shortens a longer lease, such as one that was reckoned on the clock of its former
 *     incarnation, in milliseconds; {@code leaseMs} or more
 * @param maxOrderDelayMs how long after it was sent an order may still be carried out, in milliseconds; 0 or more
 * @param stopMs how long a worker may take to stop a run, in milliseconds; 0 or more
 * @param heartbeatMs how often a worker reports itself, in milliseconds; above 0
 * @param contactMs how long a worker's report may take beyond that without being counted as late, in milliseconds; 0 or
 *     more
 */
public record LeaderTimings(
        long leaseMs, long maxLeaseMs, long maxOrderDelayMs, long stopMs, long heartbeatMs, long contactMs) {
    /** Allows for the time from a worker's report to the start that relies on it, and its way back. */
    private static final long REPORT_MARGIN_MS = 500;

    /**
     * Validates the timings.
     *
     * @throws IllegalArgumentException if a timing is out of range
     */
    public LeaderTimings {
        boolean isValid = leaseMs > 0
                && maxLeaseMs >= leaseMs
                && maxOrderDelayMs >= 0
                && stopMs >= 0
                && heartbeatMs > 0
                && contactMs >= 0;
        if (!isValid) {
            throw new IllegalArgumentException(
                    "expected: leaseMs and heartbeatMs above 0, maxLeaseMs of leaseMs or more,"
                            + " and maxOrderDelayMs, stopMs and contactMs of 0 or more\n  actual: "
                            + leaseMs + ", " + heartbeatMs + ", " + maxLeaseMs + ", " + maxOrderDelayMs + ", " + stopMs
                            + ", " + contactMs);
        }
    }

    /** For how long after a worker's last report its capacity may be relied on, in milliseconds. */
    long maxReportAgeMs() {
        return Math.max(heartbeatMs, contactMs + heartbeatMs - REPORT_MARGIN_MS);
    }
}
