package org.lovagegrade.state.scheduling;

import org.lovagegrade.wire.proto.CommandProto;

/** Proposes the leader's own commands to the replicated log. */
@FunctionalInterface
public interface Proposer {
    /**
     * Proposes a command and sets its timestamp.
     *
     * @param command the command without a timestamp
     */
    void propose(CommandProto.Builder command);
}
