package org.lovagegrade.graph.leader;

import org.lovagegrade.wire.proto.GraphCommandProto;

/** Proposes the leader's own commands to the replicated log. */
@FunctionalInterface
interface CommandProposer {
    /**
     * Proposes a command.
     *
     * @param command the command, without its timestamp
     */
    void propose(GraphCommandProto.Builder command);
}
