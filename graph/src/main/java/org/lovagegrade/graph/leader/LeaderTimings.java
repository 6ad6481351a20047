package org.lovagegrade.graph.leader;

/**
 * The timings with which a leader drives workers, as configured for the deployment.
 *
 * @param leaseMs how long a worker may keep running tasks without a lease renewal, in milliseconds; above 0
 * @param stopMs how long a worker may take to stop a run, in milliseconds; 0 or more
 */
public record LeaderTimings(long leaseMs, long stopMs) {
    /**
     * Validates the timings.
     *
     * @throws IllegalArgumentException if a timing is out of range
     */
    public LeaderTimings {
        if (leaseMs <= 0 || stopMs < 0) {
            throw new IllegalArgumentException(
                    "expected: leaseMs above 0 and stopMs of 0 or more\n  actual: " + leaseMs + ", " + stopMs);
        }
    }
}
