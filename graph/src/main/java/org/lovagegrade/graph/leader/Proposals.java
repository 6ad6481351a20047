package org.lovagegrade.graph.leader;

import org.lovagegrade.wire.proto.GraphCommandProto;

/** Takes the leader's own commands for the log. */
@FunctionalInterface
interface Proposals {
    /**
     * Proposes a command.
     *
     * @param command the command, without its time
     */
    void propose(GraphCommandProto.Builder command);
}
