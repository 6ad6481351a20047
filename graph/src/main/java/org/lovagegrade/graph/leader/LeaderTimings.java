package org.lovagegrade.graph.leader;

/**
 * The times that a deployment sets for driving workers.
 *
 * @param leaseMs how long a worker may run on without a renewal, in milliseconds
 * @param stopMs how long a worker may take to stop a run, in milliseconds
 */
public record LeaderTimings(long leaseMs, long stopMs) {
    /** Checks the times. */
    public LeaderTimings {
        if (leaseMs <= 0 || stopMs < 0) {
            throw new IllegalArgumentException(
                    "expected: leaseMs above 0 and stopMs of 0 or more\n  actual: " + leaseMs + ", " + stopMs);
        }
    }
}
