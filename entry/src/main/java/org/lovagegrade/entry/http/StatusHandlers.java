package org.lovagegrade.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.EndpointSummaryProto;
import org.lovagegrade.wire.proto.EntryStatusProto;
import org.lovagegrade.wire.proto.HeaderProto;
import org.lovagegrade.wire.proto.QueryKindProto;
import org.lovagegrade.wire.proto.QueryReplyProto;
import org.lovagegrade.wire.proto.QueryRequestProto;
import org.lovagegrade.wire.proto.WorkerStatusProto;

/** Handles queries for the state of the fleet, the health of this entry and its metrics. */
final class StatusHandlers {
    private static final double MILLI_CORES_PER_CORE = 1_000;

    private final LeaderGateway leader;
    private final OperatorKeys operatorKeys;
    private final ViewKeeper views;
    private final EndpointDirectory directory;
    private final CallService calls;
    private final Metrics metrics;
    private boolean leaving;

    StatusHandlers(
            LeaderGateway leader,
            OperatorKeys operatorKeys,
            ViewKeeper views,
            EndpointDirectory directory,
            CallService calls,
            Metrics metrics) {
        this.leader = leader;
        this.operatorKeys = operatorKeys;
        this.views = views;
        this.directory = directory;
        this.calls = calls;
        this.metrics = metrics;
    }

    /** Reports to the load balancer from now on that this entry is leaving. */
    void leave() {
        leaving = true;
    }

    void status(ApiRequest request, Consumer<ApiResponse> reply) {
        QueryRequestProto query = QueryRequestProto.newBuilder()
                .setKind(QueryKindProto.QUERY_STATUS)
                .setOperator(operatorKeys.isOperator(request))
                .build();
        leader.query(query, this::describe, reply);
    }

    /**
     * Answers the health check of the load balancer: 200 if this entry serves requests with a key and is not leaving.
     */
    void health(ApiRequest _request, Consumer<ApiResponse> reply) {
        ObjectNode body = ApiResponse.object()
                .put("inForce", views.hasValidLease())
                .put("leaving", leaving)
                .put("revision", views.view().revision());
        boolean isHealthy = views.hasValidLease() && !leaving;
        reply.accept(ApiResponse.json(
                isHealthy ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE, ApiResponse.ANSWERED, body));
    }

    void metrics(ApiRequest _request, Consumer<ApiResponse> reply) {
        HeaderProto type = HeaderProto.newBuilder()
                .setName("Content-Type")
                .setValue("text/plain; version=0.0.4")
                .build();
        reply.accept(new ApiResponse(
                StatusCodes.OK, ApiResponse.ANSWERED, List.of(type), ByteString.copyFromUtf8(metrics.scrape())));
    }

    private ApiResponse describe(QueryReplyProto queryReply) {
        ObjectNode body = ApiResponse.object()
                .put("leader", queryReply.getLeader())
                .put("revision", queryReply.getRevision())
                .put("commitIndex", queryReply.getCommitIndex())
                .put("callsHere", calls.pendingCalls());
        ArrayNode voters = body.putArray("voters");
        queryReply.getMembership().getVotersList().forEach(voters::add);
        ArrayNode learners = body.putArray("learners");
        queryReply.getMembership().getLearnersList().forEach(learners::add);
        ArrayNode entries = body.putArray("entries");
        queryReply.getEntriesList().forEach(entry -> describe(entry, entries.addObject()));
        ArrayNode workers = body.putArray("workers");
        queryReply.getWorkersList().forEach(worker -> describe(worker, workers.addObject()));
        ArrayNode endpoints = body.putArray("endpointsHere");
        directory.summaries().forEach(endpoint -> describe(endpoint, endpoints.addObject()));
        return ApiResponse.ok(body);
    }

    private static void describe(EntryStatusProto entry, ObjectNode node) {
        node.put("id", entry.getMember().getId())
                .put("failureDomain", entry.getMember().getFailureDomain())
                .put("revision", entry.getRevision())
                .put("heardMsAgo", entry.getHeardMsAgo());
    }

    private static void describe(WorkerStatusProto worker, ObjectNode node) {
        node.put("id", worker.getId())
                .put("failureDomain", worker.getFailureDomain())
                .put("rack", worker.getRack())
                .put("cores", worker.getCapacity().getMilliCores() / MILLI_CORES_PER_CORE)
                .put("freeCores", worker.getFree().getMilliCores() / MILLI_CORES_PER_CORE)
                .put("memoryMb", worker.getCapacity().getMemoryMb())
                .put("freeMemoryMb", worker.getFree().getMemoryMb())
                .put("tasks", worker.getTasks())
                .put("silent", worker.getSilent())
                .put("suspect", worker.getSuspect());
    }

    private static void describe(EndpointSummaryProto endpoint, ObjectNode node) {
        node.put("id", endpoint.getId())
                .put("service", endpoint.getService())
                .put("slots", endpoint.getSlots())
                .put("free", endpoint.getFree())
                .put("usable", endpoint.getUsable())
                .put("epoch", endpoint.getEpoch());
    }
}
