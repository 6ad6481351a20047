package org.lovagegrade.state.replica;

import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.state.machine.ApplyResult;
import org.lovagegrade.state.machine.ConfigObject;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.OutcomeProto;

/** Writes the audit log: one line per command and per decision that was applied, the same on every replica. */
final class AuditLog {
    private AuditLog() {}

    static void write(ApplyResult result, long index) {
        boolean isRequest = !result.command().getRequestId().isEmpty();
        if (result.command().hasDecisions() && !isRequest) {
            writeDecisions(result, index);
        } else {
            writeCommand(result, index);
        }
    }

    private static void writeDecisions(ApplyResult result, long index) {
        for (DecisionProto decision : result.command().getDecisions().getDecisionsList()) {
            if (result.staleDecisions().contains(decision)) {
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

    private static void writeCommand(ApplyResult result, long index) {
        CommandProto command = result.command();
        OutcomeProto outcome = result.outcome();
        Log.event("applied")
                .with("index", index)
                .with("command", command.getBodyCase().name())
                .with("requestId", command.getRequestId())
                .with("object", affectedObject(command))
                .with("workClass", command.getSubmit().getSpec().getWorkClass())
                .with("tasks", command.getSubmit().getSpec().getTasks())
                .with("operator", command.getConfigure().getOperator())
                .with("status", outcome.getStatus().name())
                .with("reason", outcome.getReason())
                .with("revision", outcome.getRevision())
                .with("repeated", result.repeated())
                .info();
    }

    private static String affectedObject(CommandProto command) {
        return switch (command.getBodyCase()) {
            case SUBMIT -> command.getSubmit().getSpec().getId();
            case CANCEL -> command.getCancel().getJob();
            case CONFIGURE -> ConfigObject.nameOf(command.getConfigure().getChange());
            case ENTRY_JOINED -> command.getEntryJoined().getId();
            case ENTRY_LEFT -> command.getEntryLeft();
            case DECISIONS -> command.getDecisions().getDecisions(0).getJob();
            default -> "";
        };
    }
}
