package org.lovagegrade.state.replica;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.LogEntryProto;

/**
 * The application that a consensus group replicates: a state machine, and the work of its leader. All methods except
 * {@link #overloadedReply()} are called on the replica's thread.
 */
public interface ReplicatedApplication {
    /**
     * Replaces the state by that of a snapshot.
     *
     * @param snapshot the result of {@link #snapshot()} on this or another replica
     */
    void restore(ByteString snapshot);

    /**
     * Serializes the state.
     *
     * @return the snapshot
     */
    ByteString snapshot();

    /**
     * Applies a committed command.
     *
     * @param entry the log entry with the command
     * @param nowMs the current monotonic time in milliseconds
     * @return the reply to the proposer
     */
    EnvelopeProto apply(LogEntryProto entry, long nowMs);

    /**
     * Returns the reply to a proposal if this replica cannot determine whether the command was committed.
     *
     * @return the reply
     */
    EnvelopeProto outcomeUnknownReply();

    /**
     * Called when this replica starts to lead with a valid leader lease.
     *
     * @param leadership accepts proposals until {@link #becomeFollower()}
     * @param nowMs the current monotonic time in milliseconds
     */
    void becomeLeader(Leadership leadership, long nowMs);

    /** Called when this replica no longer leads, or begins to transfer its leadership. */
    void becomeFollower();

    /**
     * Does the leader's work that is due. Called frequently, and only while the leader lease is valid.
     *
     * @param nowMs the current monotonic time in milliseconds
     */
    void tick(long nowMs);

    /**
     * Handles a request of another process. Called only while the leader lease is valid.
     *
     * @param request the request
     * @param reply receives the reply
     * @param nowMs the current monotonic time in milliseconds
     * @return false if the kind of the request is unknown
     */
    boolean handle(EnvelopeProto request, Consumer<EnvelopeProto> reply, long nowMs);

    /**
     * Returns the reply to a request that is refused unread because the queue is full. May be called on any thread.
     *
     * @return the reply, or empty if callers may treat an unanswered request as not accepted
     */
    default Optional<EnvelopeProto> overloadedReply() {
        return Optional.empty();
    }

    /**
     * Returns the reply to a request that only the leader can handle.
     *
     * @param request the kind of the request
     * @param leader the leader's id, or an empty string if it is unknown
     * @return the reply, or empty if this kind of request has none
     */
    Optional<EnvelopeProto> notLeaderReply(EnvelopeProto.BodyCase request, String leader);
}
