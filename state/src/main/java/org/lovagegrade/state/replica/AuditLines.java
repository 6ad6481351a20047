package org.lovagegrade.state.replica;

import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.state.machine.ApplyResult;
import org.lovagegrade.state.machine.ConfigObject;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.OutcomeProto;

/** The lines that an auditor follows: one for each command and decision that took effect, the same on every replica. */
final class AuditLines {
    private AuditLines() {}

    static void write(ApplyResult applied, long index) {
        if (applied.command().hasDecisions()) {
            writeDecisions(applied, index);
        } else {
            writeCommand(applied, index);
        }
    }

    private static void writeDecisions(ApplyResult applied, long index) {
        for (DecisionProto decision : applied.command().getDecisions().getDecisionsList()) {
            if (applied.staleDecisions().contains(decision)) {
                continue;
            }
            Log.event("decision")
                    .with("index", index)
                    .with("action", decision.getAction().name())
                    .with("job", decision.getJob())
                    .with("task", decision.getTask())
                    .with("attempt", decision.getAttempt())
                    .with("worker", decision.getWorker())
                    .with("reason", decision.getReason())
                    .with("leaseMs", decision.getLeaseMs())
                    .info();
        }
    }

    private static void writeCommand(ApplyResult applied, long index) {
        CommandProto command = applied.command();
        OutcomeProto outcome = applied.outcome();
        Log.event("applied")
                .with("index", index)
                .with("command", command.getBodyCase().name())
                .with("requestId", command.getRequestId())
                .with("object", describe(command))
                .with("operator", command.getConfigure().getOperator())
                .with("status", outcome.getStatus().name())
                .with("reason", outcome.getReason())
                .with("revision", outcome.getRevision())
                .with("repeated", applied.repeated())
                .info();
    }

    private static String describe(CommandProto command) {
        return switch (command.getBodyCase()) {
            case SUBMIT -> command.getSubmit().getSpec().getId();
            case CANCEL -> command.getCancel().getJob();
            case CONFIGURE -> ConfigObject.nameOf(command.getConfigure().getChange());
            case ENTRY_JOINED -> command.getEntryJoined().getId();
            case ENTRY_LEFT -> command.getEntryLeft();
            default -> "";
        };
    }
}
