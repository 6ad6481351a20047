package org.lovagegrade.state.replica;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.MembershipProto;

/** What a replicated application can do and query while its replica leads. */
public interface Leadership {
    /**
     * Proposes a command on the application's own behalf, without a reply.
     *
     * @param command the command
     */
    void propose(ByteString command);

    /**
     * Proposes a command on behalf of a caller.
     *
     * @param command the command
     * @param reply receives the reply once the command is committed; if this replica loses leadership, a reply that the
     *     outcome is unknown; if it does not lead, one that names the leader
     */
    void propose(ByteString command, Consumer<EnvelopeProto> reply);

    /**
     * Queues a task to run on the replica's thread. May be called on any thread.
     *
     * @param task the task
     */
    void execute(Runnable task);

    /**
     * Returns the term in which this replica leads.
     *
     * @return the term
     */
    long term();

    /**
     * Whether this replica is the only leader at this moment, so that it has applied every committed command. Must be
     * called on the replica's thread.
     *
     * @return true while its leader lease is valid
     */
    boolean holdsLease();

    /**
     * Returns the id of the leader, as this replica records it.
     *
     * @return the leader's id, which is this replica's while it leads, or an empty string if none is known
     */
    String leader();

    /**
     * Returns the committed membership.
     *
     * @return the latest membership that a quorum has stored
     */
    MembershipProto membership();

    /**
     * Returns the index up to which entries are committed.
     *
     * @return the index
     */
    long commitIndex();
}
