package org.lovagegrade.state.replica;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.MembershipProto;

/** What a leading replica lets its application do. */
public interface Leadership {
    /**
     * Proposes a command of the application's own.
     *
     * @param command the command
     */
    void propose(ByteString command);

    /**
     * Proposes a command for a caller.
     *
     * @param command the command
     * @param reply takes the answer once it is committed, or that its outcome is unknown
     */
    void propose(ByteString command, Consumer<EnvelopeProto> reply);

    /**
     * Runs a task on the replica's thread, soon.
     *
     * @param task the task
     */
    void execute(Runnable task);

    /**
     * The term in which this replica leads.
     *
     * @return the term
     */
    long term();

    /**
     * The id of this replica.
     *
     * @return the id of the leader
     */
    String leader();

    /**
     * The membership that a quorum has.
     *
     * @return the latest that is committed
     */
    MembershipProto membership();

    /**
     * The index up to which entries are committed.
     *
     * @return the index
     */
    long commitIndex();
}
