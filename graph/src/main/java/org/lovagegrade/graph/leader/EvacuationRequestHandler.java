package org.lovagegrade.graph.leader;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.lovagegrade.graph.machine.Evacuation;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.EvacuationOrderProto;
import org.lovagegrade.wire.proto.EvacuationReplyProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphStatusProto;

/** Handles operators' orders about failure domains on the leader; an order is answered once it is committed. */
final class EvacuationRequestHandler {
    private static final String EVACUATION_ORDERS = "lovagegrade_evacuation_orders";

    private final GraphStateMachine machine;
    private final Set<String> configuredDomains;
    private final CallerRequestHandler.CallerCommandProposer proposer;
    private final Metrics metrics;

    /** The result of an order. */
    private enum Result {
        ACCEPTED,
        SUPERSEDED,
        UNKNOWN_DOMAIN,
        LEADERSHIP_LOST
    }

    /**
     * Creates the handler.
     *
     * @param machine the replicated state
     * @param configuredDomains the failure domains of the settings, or none if the settings don't list them
     * @param proposer proposes orders to the log
     * @param metrics counts the orders by their result
     */
    EvacuationRequestHandler(
            GraphStateMachine machine,
            Set<String> configuredDomains,
            CallerRequestHandler.CallerCommandProposer proposer,
            Metrics metrics) {
        this.machine = machine;
        this.configuredDomains = configuredDomains;
        this.proposer = proposer;
        this.metrics = metrics.declare(EVACUATION_ORDERS, Result.class);
    }

    /**
     * Proposes an order, unless its failure domain is certainly unknown.
     *
     * @param order the order
     * @param reply receives the reply once the order is committed or refused
     */
    void order(EvacuationOrderProto order, Consumer<GraphReplyProto> reply) {
        if (isCertainlyUnknown(order.getFailureDomain())) {
            finish(order, Result.UNKNOWN_DOMAIN);
            reply.accept(GraphReplyProto.newBuilder()
                    .setEvacuation(EvacuationReplyProto.newBuilder()
                            .setUnknownDomain(true)
                            .setReason("expected: a failure domain of the settings or of a worker, one of "
                                    + new TreeSet<>(configuredDomains) + "\n  actual: " + order.getFailureDomain()))
                    .build());
            return;
        }
        proposer.propose(GraphCommandProto.newBuilder().setEvacuation(order), answer -> {
            finish(order, resultOf(answer));
            reply.accept(answer);
        });
    }

    /** Without domains in the settings, a domain whose workers are all down can't be told from an unknown one. */
    private boolean isCertainlyUnknown(String domain) {
        return !configuredDomains.isEmpty()
                && !configuredDomains.contains(domain)
                && machine.evacuations().last(domain).isEmpty()
                && machine.workers().values().stream()
                        .noneMatch(worker -> worker.info().getFailureDomain().equals(domain));
    }

    private static Result resultOf(GraphReplyProto answer) {
        if (answer.getStatus() != GraphStatusProto.GRAPH_OK) {
            return Result.LEADERSHIP_LOST;
        }
        return answer.getEvacuation().getAccepted() ? Result.ACCEPTED : Result.SUPERSEDED;
    }

    private void finish(EvacuationOrderProto order, Result result) {
        metrics.count(EVACUATION_ORDERS, result);
        Log.event("evacuationOrdered")
                .with("domain", order.getFailureDomain())
                .with("active", order.getActive())
                .with("baseVersion", order.getBaseVersion())
                .with("result", result.name())
                .info();
    }

    /**
     * The last orders about all failure domains.
     *
     * @return the reply
     */
    GraphReplyProto orders() {
        EvacuationReplyProto.Builder orders = EvacuationReplyProto.newBuilder().setAccepted(true);
        machine.evacuations().all().stream().map(Evacuation::toProto).forEach(orders::addEvacuations);
        return GraphReplyProto.newBuilder().setEvacuation(orders).build();
    }
}
