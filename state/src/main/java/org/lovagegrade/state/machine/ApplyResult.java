package org.lovagegrade.state.machine;

import java.util.List;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.OutcomeProto;

/**
 * The result of applying one command.
 *
 * @param command the command
 * @param outcome the answer to the client
 * @param repeated whether a command with the same request id was applied before; this one changed nothing
 * @param staleDecisions the decisions that no longer matched the state and changed nothing
 */
public record ApplyResult(
        CommandProto command, OutcomeProto outcome, boolean repeated, List<DecisionProto> staleDecisions) {}
