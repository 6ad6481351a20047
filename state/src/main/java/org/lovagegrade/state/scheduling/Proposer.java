package org.lovagegrade.state.scheduling;

import org.lovagegrade.wire.proto.CommandProto;

/** Takes commands of the leader itself into the log. */
@FunctionalInterface
public interface Proposer {
    /**
     * Proposes a command; the time is added.
     *
     * @param command the command without its time
     */
    void propose(CommandProto.Builder command);
}
