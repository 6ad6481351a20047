package org.lovagegrade.state.replica;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.LogEntryProto;

/** What a consensus group replicates: a state machine, and what its leader does besides. All calls come on one thread. */
public interface ReplicatedApplication {
    /**
     * Replaces the state machine by the one in a snapshot.
     *
     * @param snapshot what {@link #snapshot()} gave, on this or another replica
     */
    void restore(ByteString snapshot);

    /**
     * Writes the state machine down.
     *
     * @return the snapshot
     */
    ByteString snapshot();

    /**
     * Applies a committed command.
     *
     * @param entry the entry with the command
     * @param nowMs the present time on the monotonic clock, in milliseconds
     * @return the answer for whoever proposed it
     */
    EnvelopeProto apply(LogEntryProto entry, long nowMs);

    /**
     * The answer to a proposal of which this replica can no longer tell whether it was committed.
     *
     * @return the answer
     */
    EnvelopeProto outcomeUnknownReply();

    /**
     * This replica may decide from now on.
     *
     * @param leadership proposes commands, until {@link #becomeFollower()}
     * @param nowMs the present time on the monotonic clock, in milliseconds
     */
    void becomeLeader(Leadership leadership, long nowMs);

    /** This replica leads no longer. */
    void becomeFollower();

    /**
     * Does what is due; called often, and only while this replica may decide.
     *
     * @param nowMs the present time on the monotonic clock, in milliseconds
     */
    void tick(long nowMs);

    /**
     * Takes a request of another process, while this replica may decide.
     *
     * @param request the request
     * @param reply takes the answer
     * @param nowMs the present time on the monotonic clock, in milliseconds
     * @return false if the request is of no known kind
     */
    boolean handle(EnvelopeProto request, Consumer<EnvelopeProto> reply, long nowMs);

    /**
     * The answer to a request that is refused unread, since too many wait; asked for on any thread.
     *
     * @return the answer, or empty where a request without an answer is known not to have been taken
     */
    default Optional<EnvelopeProto> overloadedReply() {
        return Optional.empty();
    }

    /**
     * The answer to a request that only a leader can take.
     *
     * @param request its kind
     * @param leader the id of the leader, or an empty text
     * @return the answer, or empty for a request without one
     */
    Optional<EnvelopeProto> notLeaderReply(EnvelopeProto.BodyCase request, String leader);
}
