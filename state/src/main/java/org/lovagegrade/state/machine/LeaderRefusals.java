package org.lovagegrade.state.machine;

import java.util.Optional;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.DecisionActionProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.DecisionsProto;
import org.lovagegrade.wire.proto.OutcomeProto;

/**
 * Refusals that only the leader can decide, since they depend on what is not replicated. Such a refusal is replicated in
 * place of the refused command and under its request id, so that a resend gets the same answer from every later leader.
 *
 * <p>Example: {@code proposer.propose(LeaderRefusals.unknownDomain(requestId, "az9"));}
 */
public final class LeaderRefusals {
    private LeaderRefusals() {}

    /**
     * Refuses an evacuation of a failure domain that no worker and no entry has.
     *
     * @param requestId the request id of the refused command
     * @param failureDomain the unknown failure domain
     * @return the command to propose
     */
    public static CommandProto.Builder unknownDomain(String requestId, String failureDomain) {
        return refusal(
                requestId,
                DecisionProto.newBuilder().setJob(failureDomain).setReason(RefusalReason.UNKNOWN_DOMAIN.text()));
    }

    /**
     * Refuses a job that can't start while its result is useful.
     *
     * @param requestId the request id of the refused command
     * @param job the job's id
     * @param retryAfterMs when the job may be submitted again, in milliseconds
     * @return the command to propose
     */
    public static CommandProto.Builder overloaded(String requestId, String job, long retryAfterMs) {
        return refusal(
                requestId,
                DecisionProto.newBuilder()
                        .setJob(job)
                        .setReason(RefusalReason.OVERLOADED.text())
                        .setLeaseMs(retryAfterMs));
    }

    /** The outcome of a command that refuses another one, or empty if the command is none. */
    static Optional<OutcomeProto> outcomeOf(CommandProto command) {
        if (command.getRequestId().isEmpty() || command.getDecisions().getDecisionsCount() != 1) {
            return Optional.empty();
        }
        DecisionProto decision = command.getDecisions().getDecisions(0);
        return decision.getAction() == DecisionActionProto.REFUSE ? Optional.of(outcome(decision)) : Optional.empty();
    }

    private static OutcomeProto outcome(DecisionProto decision) {
        if (!decision.getReason().equals(RefusalReason.OVERLOADED.text())) {
            return Outcomes.refused(
                    RefusalReason.UNKNOWN_DOMAIN,
                    "expected: the failure domain of a worker or an entry; actual: " + decision.getJob());
        }
        // A decision has no field of its own for the time; a refusal has no lease.
        long retryAfterMs = decision.getLeaseMs();
        return Outcomes.refused(
                        RefusalReason.OVERLOADED,
                        "expected: a start while the result is useful; actual: too much work is ahead, retry after "
                                + retryAfterMs + " ms")
                .toBuilder()
                .setRetryAfterMs(retryAfterMs)
                .build();
    }

    private static CommandProto.Builder refusal(String requestId, DecisionProto.Builder decision) {
        return CommandProto.newBuilder()
                .setRequestId(requestId)
                .setDecisions(DecisionsProto.newBuilder().addDecisions(decision.setAction(DecisionActionProto.REFUSE)));
    }
}
