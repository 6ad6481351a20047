package org.lovagegrade.state.consensus;

import java.util.OptionalLong;
import java.util.function.LongUnaryOperator;

/**
 * Gathers what a replica needs.
 *
 * <p>Example: {@code Raft.replica(self, log).ofGroup(1).timedBy(RaftTimings.defaults()).startingAt(nowMs)}
 */
public final class RaftBuilder {
    private static final int DEFAULT_ENTRIES_PER_MESSAGE = 512;

    final ReplicaId self;
    final RaftStorage storage;
    int group;
    RaftTimings timings = RaftTimings.defaults();
    RaftRules rules = RaftRules.safe();
    LongUnaryOperator randomBelow = bound -> bound / 2;
    int entriesPerMessage = DEFAULT_ENTRIES_PER_MESSAGE;
    OptionalLong noLeaderContactSinceMs = OptionalLong.empty();

    RaftBuilder(ReplicaId self, RaftStorage storage) {
        this.self = self;
        this.storage = storage;
    }

    /**
     * Sets the group that this replica belongs to; messages of others are dropped.
     *
     * @param id the group's number
     * @return this builder
     */
    public RaftBuilder ofGroup(int id) {
        this.group = id;
        return this;
    }

    /**
     * Sets the times to go by.
     *
     * @param chosen the timings
     * @return this builder
     */
    public RaftBuilder timedBy(RaftTimings chosen) {
        this.timings = chosen;
        return this;
    }

    /**
     * Replaces rules, for tests of the checks.
     *
     * @param chosen the rules
     * @return this builder
     */
    public RaftBuilder ruledBy(RaftRules chosen) {
        this.rules = chosen;
        return this;
    }

    /**
     * Sets the source of randomness for election timeouts.
     *
     * @param source gives a number from 0 to below its argument
     * @return this builder
     */
    public RaftBuilder randomizedBy(LongUnaryOperator source) {
        this.randomBelow = source;
        return this;
    }

    /**
     * Sets how many entries a message carries at most.
     *
     * @param count at least 1
     * @return this builder
     */
    public RaftBuilder sendingAtMost(int count) {
        this.entriesPerMessage = count;
        return this;
    }

    /**
     * Says since when this replica has answered no leader, for a start that took a while: its votes wait for leases that
     * were granted before only. Without it the time of the start is taken.
     *
     * @param timeMs a time at which no former life of this replica ran any more, in milliseconds on the clock that
     *     drives it
     * @return this builder
     */
    public RaftBuilder noLeaderContactSince(long timeMs) {
        this.noLeaderContactSinceMs = OptionalLong.of(timeMs);
        return this;
    }

    /**
     * Creates the replica as a follower.
     *
     * @param nowMs the present time in milliseconds
     * @return the replica
     */
    public Raft startingAt(long nowMs) {
        return new Raft(this, nowMs);
    }
}
