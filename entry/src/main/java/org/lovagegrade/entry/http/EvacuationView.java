package org.lovagegrade.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.wire.proto.EvacuationProto;
import org.lovagegrade.wire.proto.QueryKindProto;
import org.lovagegrade.wire.proto.QueryReplyProto;
import org.lovagegrade.wire.proto.QueryRequestProto;
import org.lovagegrade.wire.proto.WorkerStatusProto;

/** Shows operators every failure domain, whether it is evacuated and what still runs there. */
final class EvacuationView {
    /** Stands for the failure domain of workers that the leader knows only by the tasks assigned to them. */
    private static final String UNKNOWN = "(unknown)";

    private final LeaderGateway leader;
    private final OperatorKeys operatorKeys;
    private final ViewKeeper views;

    EvacuationView(LeaderGateway leader, OperatorKeys operatorKeys, ViewKeeper views) {
        this.leader = leader;
        this.operatorKeys = operatorKeys;
        this.views = views;
    }

    /** The entries, workers and tasks of one failure domain. */
    private static final class DomainUse {
        private EvacuationProto evacuation = EvacuationProto.getDefaultInstance();
        private int entries;
        private int workers;
        private int tasks;
    }

    void show(ApiRequest request, Consumer<ApiResponse> reply) {
        if (!operatorKeys.isOperator(request)) {
            reply.accept(
                    ApiResponse.refused(StatusCodes.UNAUTHORIZED, "wrongOperatorKey", "expected: an operator's key"));
            return;
        }
        QueryRequestProto query = QueryRequestProto.newBuilder()
                .setKind(QueryKindProto.QUERY_STATUS)
                .setOperator(true)
                .build();
        leader.query(query, this::describe, reply);
    }

    private ApiResponse describe(QueryReplyProto status) {
        Map<String, DomainUse> domains = new TreeMap<>();
        status.getEntriesList()
                .forEach(entry -> domain(domains, entry.getMember().getFailureDomain()).entries++);
        for (WorkerStatusProto worker : status.getWorkersList()) {
            DomainUse domain = domain(domains, worker.getFailureDomain());
            domain.workers++;
            domain.tasks += worker.getTasks();
        }
        views.view()
                .config()
                .getEvacuationsList()
                .forEach(evacuation -> domain(domains, evacuation.getFailureDomain()).evacuation = evacuation);
        ObjectNode body = ApiResponse.object().put("revision", views.view().revision());
        ArrayNode list = body.putArray("domains");
        domains.forEach((id, domain) -> list.addObject()
                .put("domain", id)
                .put("state", domain.evacuation.getActive() ? "evacuated" : "in service")
                .put("entries", domain.entries)
                .put("workers", domain.workers)
                .put("tasks", domain.tasks)
                .put("revision", domain.evacuation.getRevision()));
        return ApiResponse.ok(body);
    }

    private static DomainUse domain(Map<String, DomainUse> domains, String id) {
        return domains.computeIfAbsent(id.isEmpty() ? UNKNOWN : id, _id -> new DomainUse());
    }
}
