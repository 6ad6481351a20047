package org.lovagegrade.state.machine;

import java.util.List;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.OutcomeProto;

/**
 * What came of one command.
 *
 * @param command the command
 * @param outcome the answer to it
 * @param repeated whether it is a resend, which changed nothing
 * @param late the decisions that came too late and changed nothing
 */
public record Applied(CommandProto command, OutcomeProto outcome, boolean repeated, List<DecisionProto> late) {}
