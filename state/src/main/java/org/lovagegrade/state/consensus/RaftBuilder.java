package org.lovagegrade.state.consensus;

import java.util.OptionalLong;
import java.util.function.LongUnaryOperator;

/**
 * Builder for {@link Raft}.
 *
 * <p>Example: {@code Raft.replica(self, log).ofGroup(1).timedBy(RaftTimings.defaults()).startingAt(nowMs)}
 */
public final class RaftBuilder {
    private static final int DEFAULT_MAX_ENTRIES_PER_MESSAGE = 512;

    final ReplicaId self;
    final RaftStorage storage;
    int group;
    RaftTimings timings = RaftTimings.defaults();
    RaftRules rules = RaftRules.safe();
    LongUnaryOperator randomBelow = bound -> bound / 2;
    int maxEntriesPerMessage = DEFAULT_MAX_ENTRIES_PER_MESSAGE;
    OptionalLong noLeaderContactSinceMs = OptionalLong.empty();

    RaftBuilder(ReplicaId self, RaftStorage storage) {
        this.self = self;
        this.storage = storage;
    }

    /**
     * Sets the group that this replica belongs to; messages of other groups are dropped.
     *
     * @param id the group's number
     * @return this builder
     */
    public RaftBuilder ofGroup(int id) {
        this.group = id;
        return this;
    }

    /**
     * Sets the heartbeat interval, the election timeout and the lease.
     *
     * @param value the timings
     * @return this builder
     */
    public RaftBuilder timedBy(RaftTimings value) {
        this.timings = value;
        return this;
    }

    /**
     * Replaces safety rules; for tests only, to verify that a broken rule is detected.
     *
     * @param value the rules
     * @return this builder
     */
    public RaftBuilder ruledBy(RaftRules value) {
        this.rules = value;
        return this;
    }

    /**
     * Sets the source of randomness for election timeouts.
     *
     * @param source returns a number from 0 (inclusive) to its argument (exclusive)
     * @return this builder
     */
    public RaftBuilder randomizedBy(LongUnaryOperator source) {
        this.randomBelow = source;
        return this;
    }

    /**
     * Sets the maximum number of entries in one message.
     *
     * @param count at least 1
     * @return this builder
     */
    public RaftBuilder maxEntriesPerMessage(int count) {
        this.maxEntriesPerMessage = count;
        return this;
    }

    /**
     * Sets since when this replica has answered no leader; by default, the time passed to {@link #startingAt}. It
     * grants no vote until an election timeout after this time, when the leases that it granted before its restart have
     * expired, so a slow start needn't add to the wait.
     *
     * @param timeMs a time at which no earlier process of this replica was running any more, in milliseconds on the
     *     clock of {@link #startingAt}
     * @return this builder
     */
    public RaftBuilder noLeaderContactSince(long timeMs) {
        this.noLeaderContactSinceMs = OptionalLong.of(timeMs);
        return this;
    }

    /**
     * Creates the replica as a follower.
     *
     * @param nowMs the current time in milliseconds
     * @return the replica
     */
    public Raft startingAt(long nowMs) {
        return new Raft(this, nowMs);
    }
}
