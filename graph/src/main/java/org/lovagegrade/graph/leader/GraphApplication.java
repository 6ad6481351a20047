package org.lovagegrade.graph.leader;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagegrade.graph.machine.GraphStateListener;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.planning.PlanOrder;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.state.replica.Leadership;
import org.lovagegrade.state.replica.ReplicatedApplication;
import org.lovagegrade.wire.proto.DocumentReplyProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphRequestProto;
import org.lovagegrade.wire.proto.GraphStatusProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;

/** The replicated application that schedules job graphs; the leader plans their tasks and drives the workers. */
public final class GraphApplication implements ReplicatedApplication {
    private final GraphStateMachine machine;
    private final WorkerLink link;
    private final LeaderTimings timings;
    private final Clock clock;
    private final Clock wallClock;
    private final Metrics metrics;
    private final PlanOrder planOrder;
    private final boolean preempts;
    private boolean refusesForLoad;
    private Leadership leadership;
    private GraphLeader leader;
    private CallerRequestHandler callerHandler;
    private volatile Set<String> configuredDomains = Set.of();

    /**
     * Creates an application without jobs and workers.
     *
     * @param link carries orders to workers
     * @param timings the deployment's timings
     * @param endedJobRetentionMs how long the state of an ended job can be queried, in milliseconds
     * @param clock a monotonic clock
     * @param wallClock the time of day
     * @param metrics counts refusals
     * @param planOrder the order in which steps are placed on workers
     * @param preempts whether runs may be stopped for more urgent work
     */
    public GraphApplication(
            WorkerLink link,
            LeaderTimings timings,
            long endedJobRetentionMs,
            Clock clock,
            Clock wallClock,
            Metrics metrics,
            PlanOrder planOrder,
            boolean preempts) {
        this.machine = GraphStateMachine.withRetention(endedJobRetentionMs);
        this.link = link;
        this.timings = timings;
        this.clock = clock;
        this.wallClock = wallClock;
        this.metrics = metrics;
        this.planOrder = planOrder;
        this.preempts = preempts;
    }

    /**
     * Sets the failure domains that exist although they may have no workers. May be called on any thread.
     *
     * @param failureDomains their names; if there are none, orders about unknown failure domains are accepted
     */
    public void setConfiguredDomains(Set<String> failureDomains) {
        configuredDomains = Set.copyOf(failureDomains);
    }

    /**
     * Makes the leader refuse submissions whose results would come too late to be useful.
     *
     * @return this application
     */
    public GraphApplication withAdmissionControl() {
        refusesForLoad = true;
        return this;
    }

    @Override
    public void restore(ByteString snapshot) {
        machine.restore(snapshot);
    }

    @Override
    public ByteString snapshot() {
        return machine.snapshot();
    }

    @Override
    public EnvelopeProto apply(LogEntryProto entry, long _nowMs) {
        return envelope(machine.apply(parse(entry)).toBuilder());
    }

    @Override
    public EnvelopeProto outcomeUnknownReply() {
        return envelope(GraphReplyProto.newBuilder().setStatus(GraphStatusProto.GRAPH_OUTCOME_UNKNOWN));
    }

    @Override
    public void becomeLeader(Leadership newLeadership, long nowMs) {
        leadership = newLeadership;
        WorkerDriver driver = new WorkerDriver(
                new WorkerDriver.Dependencies(
                        link,
                        newLeadership::execute,
                        this::proposeWithoutReply,
                        timings,
                        clock,
                        metrics,
                        worker -> machine.evacuations().isEvacuated(worker.getFailureDomain()),
                        newLeadership::holdsLease,
                        DriverSafeguards.allEnabled()),
                newLeadership.term(),
                nowMs);
        leader = new GraphLeader(
                machine, driver, this::proposeWithoutReply, clock, wallClock, planOrder, preempts, metrics);
        Optional<SubmissionGate> gate = refusesForLoad
                ? Optional.of(new SubmissionGate(leader.workAccount(), wallClock, metrics))
                : Optional.empty();
        callerHandler = new CallerRequestHandler(machine, this::proposeWithReply, metrics, gate);
        machine.setListener(leader);
    }

    @Override
    public void becomeFollower() {
        machine.setListener(GraphStateListener.NONE);
        leader.close();
        leader = null;
        callerHandler = null;
    }

    @Override
    public void tick(long nowMs) {
        leader.tick(nowMs);
    }

    @Override
    public boolean handle(EnvelopeProto request, Consumer<EnvelopeProto> reply, long _nowMs) {
        if (!request.hasGraphRequest()) {
            return false;
        }
        Consumer<GraphReplyProto> answer = body -> reply.accept(envelope(body.toBuilder()));
        GraphRequestProto graphRequest = request.getGraphRequest();
        switch (graphRequest.getBodyCase()) {
            case CALLER -> callerHandler.handle(graphRequest.getCaller(), answer);
            case CONFIGURE ->
                proposeWithReply(GraphCommandProto.newBuilder().setConfigure(graphRequest.getConfigure()), answer);
            case READ_DOCUMENT ->
                proposeWithReply(
                        GraphCommandProto.newBuilder().setBarrier(true),
                        barrier -> answer.accept(
                                barrier.getStatus() == GraphStatusProto.GRAPH_OK ? configurationReply() : barrier));
            case EVACUATE -> evacuationHandler().order(graphRequest.getEvacuate(), answer);
            case READ_EVACUATIONS -> answer.accept(evacuationHandler().orders());
            case WORKER ->
                leader.handleWorkerReport(
                        graphRequest.getWorker(),
                        () -> answer.accept(GraphReplyProto.getDefaultInstance()),
                        command -> proposeWithReply(command, answer));
            case WORKER_LEAVES ->
                leader.handleWorkerLeaving(
                        graphRequest.getWorkerLeaves(), () -> answer.accept(GraphReplyProto.getDefaultInstance()));
            case ADVICE ->
                leader.handleAdvicePoll(
                        graphRequest.getAdvice(),
                        questions -> answer.accept(GraphReplyProto.newBuilder()
                                .addAllQuestions(questions)
                                .build()));
            default -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public Optional<EnvelopeProto> overloadedReply() {
        return Optional.of(EnvelopeProto.newBuilder()
                .setGraphReply(GraphReplyProto.newBuilder().setStatus(GraphStatusProto.GRAPH_BUSY))
                .build());
    }

    @Override
    public Optional<EnvelopeProto> notLeaderReply(EnvelopeProto.BodyCase _request, String leaderId) {
        return Optional.of(EnvelopeProto.newBuilder()
                .setGraphReply(GraphReplyProto.newBuilder()
                        .setStatus(GraphStatusProto.GRAPH_NOT_LEADER)
                        .setLeader(
                                leaderId.isEmpty()
                                        ? ""
                                        : ReplicaId.parse(leaderId).name()))
                .build());
    }

    private EvacuationRequestHandler evacuationHandler() {
        return new EvacuationRequestHandler(machine, configuredDomains, this::proposeWithReply, metrics);
    }

    private GraphReplyProto configurationReply() {
        return GraphReplyProto.newBuilder()
                .setDocument(DocumentReplyProto.newBuilder()
                        .setAccepted(machine.configuration().isPresent())
                        .setSource(callerHandler == null ? ByteString.EMPTY : callerHandler.configurationSource()))
                .build();
    }

    private void proposeWithoutReply(GraphCommandProto.Builder command) {
        leadership.propose(withTimestamp(command));
    }

    private void proposeWithReply(GraphCommandProto.Builder command, Consumer<GraphReplyProto> reply) {
        leadership.propose(withTimestamp(command), envelope -> reply.accept(envelope.getGraphReply()));
    }

    private ByteString withTimestamp(GraphCommandProto.Builder command) {
        return command.setAtMs(wallClock.nowMs()).build().toByteString();
    }

    private EnvelopeProto envelope(GraphReplyProto.Builder reply) {
        machine.configuration()
                .ifPresent(configuration ->
                        reply.setDocumentVersion(configuration.proto().getVersion()));
        boolean isLeaderKnown = leader != null && !leadership.leader().isEmpty();
        if (isLeaderKnown) {
            reply.setLeader(ReplicaId.parse(leadership.leader()).name());
            MembershipProto members = leadership.membership();
            List<String> ids = new ArrayList<>(members.getVotersList());
            ids.addAll(members.getLearnersList());
            ids.forEach(id -> reply.addReplicas(ReplicaId.parse(id).name()));
        }
        return EnvelopeProto.newBuilder().setGraphReply(reply).build();
    }

    private static GraphCommandProto parse(LogEntryProto entry) {
        try {
            return GraphCommandProto.parseFrom(entry.getCommand());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "expected: a command in entry " + entry.getIndex() + "\n  actual: " + e.getMessage(), e);
        }
    }
}
