package org.lovagegrade.state.consensus;

/**
 * The times by which a group goes.
 *
 * @param heartbeatMs how often a leader is heard, in milliseconds
 * @param electionTimeoutMs how long a leader must be silent before anyone votes for another, in milliseconds
 * @param leaseMs how long a leader may decide after a quorum heard it, in milliseconds
 */
public record RaftTimings(long heartbeatMs, long electionTimeoutMs, long leaseMs) {
    private static final long DEFAULT_HEARTBEAT_MS = 100;
    private static final long DEFAULT_ELECTION_TIMEOUT_MS = 1_000;
    private static final long PERCENT = 100;
    private static final long LEASE_PERCENT = 90;
    private static final long REPLACE_AFTER_ELECTIONS = 7;

    /** Checks the order of the times. */
    public RaftTimings {
        if (heartbeatMs <= 0 || leaseMs >= electionTimeoutMs || heartbeatMs * 2 > electionTimeoutMs) {
            throw new IllegalArgumentException("expected: 0 < heartbeatMs <= electionTimeoutMs / 2 and leaseMs <"
                    + " electionTimeoutMs\n  actual: " + heartbeatMs + ", " + electionTimeoutMs + ", " + leaseMs);
        }
    }

    /**
     * Derives the lease from the election timeout, less a bound on clock drift.
     *
     * @param heartbeatMs how often a leader is heard, in milliseconds
     * @param electionTimeoutMs how long a leader must be silent, in milliseconds
     * @return the timings
     */
    public static RaftTimings of(long heartbeatMs, long electionTimeoutMs) {
        return new RaftTimings(heartbeatMs, electionTimeoutMs, electionTimeoutMs * LEASE_PERCENT / PERCENT);
    }

    /**
     * After which silence a voter may be replaced by a replica without a vote.
     *
     * @return some election timeouts, in milliseconds: beyond a restart, and before a second loss has to be borne
     */
    public long replaceAfterMs() {
        return electionTimeoutMs * REPLACE_AFTER_ELECTIONS;
    }

    /**
     * The timings for failure domains a few milliseconds apart.
     *
     * @return the timings
     */
    public static RaftTimings defaults() {
        return of(DEFAULT_HEARTBEAT_MS, DEFAULT_ELECTION_TIMEOUT_MS);
    }
}
