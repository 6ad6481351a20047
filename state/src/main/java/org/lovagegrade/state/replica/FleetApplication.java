package org.lovagegrade.state.replica;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.overload.AdmissionDecision;
import org.lovagegrade.state.machine.ApplyResult;
import org.lovagegrade.state.machine.LeaderRefusals;
import org.lovagegrade.state.machine.RefusalReason;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.state.scheduling.EntryViews;
import org.lovagegrade.state.scheduling.Evacuations;
import org.lovagegrade.state.scheduling.LeaderScheduler;
import org.lovagegrade.state.scheduling.StatusQueries;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.CommandReplyProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;

/** The replicated state of a fleet with workspaces, work classes and single-step jobs, and its leader's scheduler. */
public final class FleetApplication implements ReplicatedApplication {
    private static final String COMMAND_REFUSALS = "lovagegrade_command_refusals";

    private final Clock wallClock = Clock.wall();
    private final Metrics metrics;
    private final boolean admissionControl;
    private StateMachine machine = StateMachine.empty();
    private Leadership leadership;
    private LeaderScheduler scheduler;
    private EntryViews views;
    private StatusQueries queries;

    /**
     * Creates the application with an empty state.
     *
     * @param metrics counts refusals and times decisions
     * @param admissionControl whether jobs may be refused for load
     */
    public FleetApplication(Metrics metrics, boolean admissionControl) {
        this.admissionControl = admissionControl;
        this.metrics = metrics.declare(COMMAND_REFUSALS, RefusalReason.class);
    }

    @Override
    public void restore(ByteString snapshot) {
        machine = StateMachine.fromSnapshot(snapshot);
    }

    @Override
    public ByteString snapshot() {
        return machine.snapshot();
    }

    @Override
    public EnvelopeProto apply(LogEntryProto entry, long nowMs) {
        ApplyResult result = machine.apply(parse(entry));
        AuditLog.write(result, entry.getIndex());
        if (!result.repeated()) {
            RefusalReason.of(result.outcome()).ifPresent(reason -> metrics.count(COMMAND_REFUSALS, reason));
        }
        if (scheduler != null) {
            scheduler.commandApplied(result, nowMs);
        }
        return reply(result.outcome());
    }

    @Override
    public EnvelopeProto outcomeUnknownReply() {
        return reply(OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.OUTCOME_UNKNOWN)
                .setReason("leadershipLost")
                .build());
    }

    @Override
    public void becomeLeader(Leadership newLeadership, long nowMs) {
        leadership = newLeadership;
        scheduler = new LeaderScheduler(machine, this::proposeOwn, metrics, nowMs, wallClock.nowMs(), admissionControl);
        views = new EntryViews(machine, this::proposeOwn, nowMs);
        queries = new StatusQueries(machine, scheduler, views);
    }

    @Override
    public void becomeFollower() {
        scheduler = null;
        views = null;
        queries = null;
    }

    @Override
    public void tick(long nowMs) {
        scheduler.tick(nowMs);
        views.tick(nowMs);
    }

    @Override
    public boolean handle(EnvelopeProto request, Consumer<EnvelopeProto> reply, long nowMs) {
        switch (request.getBodyCase()) {
            case COMMAND_REQUEST -> handleCommand(request.getCommandRequest().getCommand(), reply, nowMs);
            case HEARTBEAT_BATCH ->
                reply.accept(EnvelopeProto.newBuilder()
                        .setHeartbeatAnswer(scheduler.handleHeartbeats(request.getHeartbeatBatch(), nowMs))
                        .build());
            case VIEW_REQUEST ->
                reply.accept(EnvelopeProto.newBuilder()
                        .setViewReply(views.view(request.getViewRequest(), nowMs))
                        .build());
            case QUERY_REQUEST ->
                reply.accept(EnvelopeProto.newBuilder()
                        .setQueryReply(queries.answer(request.getQueryRequest(), nowMs).toBuilder()
                                .setLeader(leadership.leader())
                                .setMembership(leadership.membership())
                                .setCommitIndex(leadership.commitIndex()))
                        .build());
            default -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public Optional<EnvelopeProto> notLeaderReply(EnvelopeProto.BodyCase request, String leader) {
        return NotLeaderReplies.forRequest(request, leader);
    }

    private void handleCommand(CommandProto command, Consumer<EnvelopeProto> reply, long nowMs) {
        Optional<AdmissionDecision.Refused> refused = command.hasSubmit()
                ? scheduler.submissions().flatMap(control -> control.refusalOf(command, nowMs))
                : Optional.empty();
        if (refused.isPresent()) {
            String job = command.getSubmit().getSpec().getId();
            long retryAfterMs = refused.get().retryAfterMs();
            leadership.propose(
                    timestamped(LeaderRefusals.overloaded(command.getRequestId(), job, retryAfterMs)), reply);
            return;
        }
        String failureDomain =
                command.getConfigure().getChange().getSetEvacuation().getFailureDomain();
        Evacuations.Knowledge knowledge = failureDomain.isEmpty()
                ? Evacuations.Knowledge.KNOWN
                : scheduler.evacuations().knowledgeOf(failureDomain, nowMs);
        switch (knowledge) {
            case KNOWN -> leadership.propose(timestamped(command.toBuilder()), reply);
            case UNKNOWN ->
                leadership.propose(
                        timestamped(LeaderRefusals.unknownDomain(command.getRequestId(), failureDomain)), reply);
            case NOT_YET_KNOWN ->
                // The entry tries again until this leader knows its workers.
                notLeaderReply(EnvelopeProto.BodyCase.COMMAND_REQUEST, leadership.leader())
                        .ifPresent(reply);
        }
    }

    private void proposeOwn(CommandProto.Builder command) {
        leadership.propose(timestamped(command));
    }

    private ByteString timestamped(CommandProto.Builder command) {
        return command.setAtMs(wallClock.nowMs()).build().toByteString();
    }

    private static CommandProto parse(LogEntryProto entry) {
        try {
            return CommandProto.parseFrom(entry.getCommand());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "expected: a command in entry " + entry.getIndex() + "\n  actual: " + e.getMessage(), e);
        }
    }

    private static EnvelopeProto reply(OutcomeProto outcome) {
        return EnvelopeProto.newBuilder()
                .setCommandReply(CommandReplyProto.newBuilder().setOutcome(outcome))
                .build();
    }
}
