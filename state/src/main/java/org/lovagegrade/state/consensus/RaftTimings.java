package org.lovagegrade.state.consensus;

/**
 * The timings of a consensus group.
 *
 * @param heartbeatMs the interval between the heartbeats of a leader, in milliseconds
 * @param electionTimeoutMs how long a replica must be without contact with the leader before it votes for another, in
 *     milliseconds
 * @param leaseMs how long the leader lease lasts from the sending of a heartbeat that a quorum answered, in
 *     milliseconds
 */
public record RaftTimings(long heartbeatMs, long electionTimeoutMs, long leaseMs) {
    private static final long DEFAULT_HEARTBEAT_MS = 100;
    private static final long DEFAULT_ELECTION_TIMEOUT_MS = 1_000;
    private static final long PERCENT = 100;
    /** The rest is the margin for clock drift between replicas. */
    private static final long LEASE_PERCENT = 90;

    private static final long REPLACE_AFTER_ELECTION_TIMEOUTS = 7;

    /**
     * Creates timings.
     *
     * @throws IllegalArgumentException unless the heartbeat interval is above 0 and at most half the election timeout,
     *     and the lease is shorter than the election timeout
     */
    public RaftTimings {
        if (heartbeatMs <= 0 || leaseMs >= electionTimeoutMs || heartbeatMs * 2 > electionTimeoutMs) {
            throw new IllegalArgumentException("expected: 0 < heartbeatMs <= electionTimeoutMs / 2 and leaseMs <"
                    + " electionTimeoutMs\n  actual: " + heartbeatMs + ", " + electionTimeoutMs + ", " + leaseMs);
        }
    }

    /**
     * Returns timings whose lease is the election timeout less a margin for clock drift.
     *
     * @param heartbeatMs the heartbeat interval, in milliseconds
     * @param electionTimeoutMs the election timeout, in milliseconds
     * @return the timings
     */
    public static RaftTimings of(long heartbeatMs, long electionTimeoutMs) {
        return new RaftTimings(heartbeatMs, electionTimeoutMs, electionTimeoutMs * LEASE_PERCENT / PERCENT);
    }

    /**
     * How long a voter must be unresponsive before a learner may replace it: longer than a restart takes, but short
     * enough that the group is back to its full size before it is likely to lose another replica.
     *
     * @return a multiple of the election timeout, in milliseconds
     */
    public long replaceAfterMs() {
        return electionTimeoutMs * REPLACE_AFTER_ELECTION_TIMEOUTS;
    }

    /**
     * The timings for failure domains that are a few milliseconds of latency apart.
     *
     * @return the timings
     */
    public static RaftTimings defaults() {
        return of(DEFAULT_HEARTBEAT_MS, DEFAULT_ELECTION_TIMEOUT_MS);
    }
}
