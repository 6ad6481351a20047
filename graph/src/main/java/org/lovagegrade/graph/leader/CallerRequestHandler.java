package org.lovagegrade.graph.leader;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagegrade.graph.machine.FleetConfiguration;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.overload.AdmissionDecision;
import org.lovagegrade.wire.proto.CallerActionProto;
import org.lovagegrade.wire.proto.CallerOutcomeProto;
import org.lovagegrade.wire.proto.CallerReplyProto;
import org.lovagegrade.wire.proto.CallerRequestProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;

/** Handles caller requests on the leader: queries read committed state, and changes are answered once committed. */
final class CallerRequestHandler {
    private static final String CALLER_OUTCOMES = "lovagegrade_caller_outcomes";

    private final GraphStateMachine machine;
    private final CallerCommandProposer proposer;
    private final Metrics metrics;
    private final Optional<SubmissionGate> gate;
    private final JobLookup jobLookup;

    /** Proposes commands on behalf of callers. */
    @FunctionalInterface
    interface CallerCommandProposer {
        /**
         * Proposes a command.
         *
         * @param command the command, without its timestamp
         * @param reply receives the reply once the command is committed
         */
        void propose(GraphCommandProto.Builder command, Consumer<GraphReplyProto> reply);
    }

    /** What a request refers to once its queue and key are checked; without a known key, the workspace is empty. */
    private record Target(QueueProto queue, String workspace, String jobId) {}

    CallerRequestHandler(
            GraphStateMachine machine, CallerCommandProposer proposer, Metrics metrics, Optional<SubmissionGate> gate) {
        this.gate = gate;
        this.machine = machine;
        this.jobLookup = new JobLookup(machine);
        this.proposer = proposer;
        this.metrics = metrics.declare(CALLER_OUTCOMES, CallerOutcomeProto.class);
    }

    void handle(CallerRequestProto request, Consumer<GraphReplyProto> reply) {
        Optional<FleetConfiguration> configuration = machine.configuration();
        if (configuration.isEmpty()) {
            refuse(request, CallerOutcomeProto.CALLER_NO_DOCUMENT, "no desired state yet", reply);
            return;
        }
        Optional<QueueProto> queue = configuration.get().queueFor(request.getHost(), request.getPath());
        if (queue.isEmpty()) {
            refuse(request, CallerOutcomeProto.CALLER_NO_QUEUE, "no queue has this host and path", reply);
            return;
        }
        Optional<GraphWorkspaceProto> workspace = configuration.get().workspaceOfKey(request.getKey());
        if (workspace.isEmpty() && !queue.get().getOpenToAll()) {
            refuse(request, CallerOutcomeProto.CALLER_UNKNOWN_KEY, "no workspace has this key", reply);
            return;
        }
        String jobId = request.getPath().substring(queue.get().getPathPrefix().length());
        dispatch(
                request,
                new Target(
                        queue.get(), workspace.map(GraphWorkspaceProto::getName).orElse(""), jobId),
                reply);
    }

    private void dispatch(CallerRequestProto request, Target target, Consumer<GraphReplyProto> reply) {
        CallerActionProto action = request.getAction();
        if (action == CallerActionProto.SHOW_GRAPH && target.jobId().isEmpty()) {
            reply.accept(pending(target.queue()));
            return;
        }
        switch (action) {
            case SUBMIT_GRAPH -> submit(request, target, reply);
            case SHOW_GRAPH -> show(request, target, reply);
            case CANCEL_GRAPH -> cancel(request, target, reply);
            default -> refuse(request, CallerOutcomeProto.CALLER_INVALID, "unknown action", reply);
        }
    }

    private void submit(CallerRequestProto request, Target target, Consumer<GraphReplyProto> reply) {
        if (machine.job(target.jobId()).isPresent()) {
            reply.accept(ok());
            return;
        }
        GraphProto graph = request.getGraph().toBuilder()
                .setId(target.jobId())
                .setQueue(target.queue().getName())
                .setHost(target.queue().getHost())
                .setPathPrefix(target.queue().getPathPrefix())
                .setWorkspace(target.workspace())
                .build();
        Optional<AdmissionDecision.Refused> refusal = gate.flatMap(present -> present.refusal(graph, target.queue()));
        if (refusal.isPresent()) {
            refuseForLoad(request, refusal.get(), reply);
            return;
        }
        proposer.propose(GraphCommandProto.newBuilder().setSubmit(graph), answer -> {
            gate.ifPresent(present -> present.answered(graph.getId()));
            reply.accept(answer);
        });
    }

    private void show(CallerRequestProto request, Target target, Consumer<GraphReplyProto> reply) {
        Optional<JobRecord> job = findJob(target);
        if (job.isEmpty()) {
            refuse(request, CallerOutcomeProto.CALLER_GONE, "no such job in this queue", reply);
            return;
        }
        reply.accept(GraphReplyProto.newBuilder()
                .setCaller(CallerReplyProto.newBuilder().setState(job.get().state()))
                .build());
    }

    private void cancel(CallerRequestProto request, Target target, Consumer<GraphReplyProto> reply) {
        if (findJob(target).isEmpty()) {
            refuse(request, CallerOutcomeProto.CALLER_GONE, "no such job in this queue", reply);
            return;
        }
        proposer.propose(GraphCommandProto.newBuilder().setCancel(target.jobId()), reply);
    }

    private Optional<JobRecord> findJob(Target target) {
        return jobLookup.find(target.queue(), target.workspace(), target.jobId());
    }

    private GraphReplyProto pending(QueueProto queue) {
        long pending = machine.activeJobs().stream()
                .filter(job -> job.state() == GraphStateProto.GRAPH_QUEUED)
                .filter(job -> jobLookup.isOf(job, queue))
                .count();
        return GraphReplyProto.newBuilder()
                .setCaller(CallerReplyProto.newBuilder().setPending(pending))
                .build();
    }

    private void refuse(
            CallerRequestProto request, CallerOutcomeProto outcome, String reason, Consumer<GraphReplyProto> reply) {
        refuse(
                request,
                CallerReplyProto.newBuilder()
                        .setOutcome(outcome)
                        .setReason(reason)
                        .build(),
                reply);
    }

    private void refuseForLoad(
            CallerRequestProto request, AdmissionDecision.Refused refusal, Consumer<GraphReplyProto> reply) {
        refuse(
                request,
                CallerReplyProto.newBuilder()
                        .setOutcome(CallerOutcomeProto.CALLER_OVERLOADED)
                        .setReason("the result would come too late to be useful: " + refusal.reason())
                        .setRetryAfterMs(refusal.retryAfterMs())
                        .build(),
                reply);
    }

    private void refuse(CallerRequestProto request, CallerReplyProto answer, Consumer<GraphReplyProto> reply) {
        metrics.count(CALLER_OUTCOMES, answer.getOutcome());
        Log.event("callerRefused")
                .with("action", request.getAction().name())
                .with("path", request.getPath())
                .with("outcome", answer.getOutcome().name())
                .with("reason", answer.getReason())
                .with(
                        "documentVersion",
                        machine.configuration()
                                .map(configuration -> configuration.proto().getVersion())
                                .orElse(0L))
                .info();
        reply.accept(GraphReplyProto.newBuilder().setCaller(answer).build());
    }

    private static GraphReplyProto ok() {
        return GraphReplyProto.newBuilder()
                .setCaller(CallerReplyProto.getDefaultInstance())
                .build();
    }

    /** Returns the source text of the configuration, or an empty one if there is none. */
    ByteString configurationSource() {
        return machine.configuration()
                .map(configuration -> configuration.proto().getSource())
                .orElse(ByteString.EMPTY);
    }
}
