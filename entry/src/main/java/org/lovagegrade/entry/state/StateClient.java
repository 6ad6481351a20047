package org.lovagegrade.entry.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;
import org.lovagegrade.wire.RpcLink;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;

/**
 * Finds the leader of the state replicas and sends requests to it. A request that may have been accepted is sent again
 * only if the caller states that this is safe.
 *
 * <p>Example: {@code client.ask(request, 2_000, true).thenAccept(answer -> ...);}
 */
public final class StateClient implements Service {
    /** The name of this service. */
    public static final String NAME = "stateClient";

    private static final long ATTEMPT_TIMEOUT_MS = 1_500;
    private static final long RETRY_PAUSE_MS = 50;

    private final EventLoop loop;
    private final Clock clock;
    private final List<NamedLink> links = new ArrayList<>();
    private int preferred;

    /** A link to one replica. */
    private record NamedLink(String name, RpcLink link) {}

    /**
     * Creates the client; links connect with their first request.
     *
     * @param networkThreads the network threads
     * @param replicas the addresses of the state replicas by name
     * @param loop the loop on which replicas are chosen and answers are handled
     * @param clock a monotonic clock
     */
    public StateClient(NetworkThreads networkThreads, Map<String, Address> replicas, EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        replicas.forEach((name, address) -> links.add(new NamedLink(name, RpcLink.to(networkThreads, address, clock))));
    }

    /**
     * Sends a request to the leader.
     *
     * @param request the request
     * @param timeoutMs the total time for all attempts, in milliseconds
     * @param mayResend whether the request may safely be accepted more than once
     * @return a future that completes with the answer on the loop, never exceptionally
     */
    public CompletableFuture<StateAnswer> ask(EnvelopeProto request, long timeoutMs, boolean mayResend) {
        CompletableFuture<StateAnswer> result = new CompletableFuture<>();
        PendingRequest pending = new PendingRequest(request, clock.nowMs() + timeoutMs, mayResend, result);
        loop.execute(() -> attempt(pending));
        return result;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        links.forEach(link -> link.link().close());
    }

    /** A request that has no final answer yet. */
    private static final class PendingRequest {
        private final EnvelopeProto request;
        private final long deadlineMs;
        private final boolean mayResend;
        private final CompletableFuture<StateAnswer> result;
        private boolean possiblyAccepted;
        private String lastReason = "no replica answered";

        PendingRequest(
                EnvelopeProto request, long deadlineMs, boolean mayResend, CompletableFuture<StateAnswer> result) {
            this.request = request;
            this.deadlineMs = deadlineMs;
            this.mayResend = mayResend;
            this.result = result;
        }

        void giveUp() {
            result.complete(
                    possiblyAccepted ? new StateAnswer.Unknown(lastReason) : new StateAnswer.NotAccepted(lastReason));
        }
    }

    private void attempt(PendingRequest pending) {
        long remainingMs = pending.deadlineMs - clock.nowMs();
        if (remainingMs <= 0 || links.isEmpty()) {
            pending.giveUp();
            return;
        }
        int tried = preferred;
        links.get(tried)
                .link()
                .call(pending.request, Math.min(remainingMs, ATTEMPT_TIMEOUT_MS))
                .thenAccept(result -> loop.execute(() -> onResult(pending, tried, result)));
    }

    private void onResult(PendingRequest pending, int tried, RpcResult result) {
        if (result instanceof RpcResult.Answered answered) {
            onAnswer(pending, tried, answered.envelope());
        } else if (result instanceof RpcResult.NotSent notSent) {
            pending.lastReason = notSent.reason();
            preferNextReplica(tried, "");
            retry(pending);
        } else if (result instanceof RpcResult.Lost lost) {
            pending.possiblyAccepted = true;
            pending.lastReason = lost.reason();
            preferNextReplica(tried, "");
            retryIfSafe(pending);
        }
    }

    private void onAnswer(PendingRequest pending, int tried, EnvelopeProto envelope) {
        OutcomeStatusProto status = statusOf(envelope);
        if (status == OutcomeStatusProto.NOT_LEADER) {
            pending.lastReason = "no leader";
            preferNextReplica(tried, leaderHint(envelope));
            retry(pending);
        } else if (status == OutcomeStatusProto.OUTCOME_UNKNOWN) {
            pending.possiblyAccepted = true;
            pending.lastReason = "the leader changed";
            preferNextReplica(tried, "");
            retryIfSafe(pending);
        } else {
            pending.result.complete(new StateAnswer.Answered(envelope));
        }
    }

    private void retry(PendingRequest pending) {
        loop.schedule(RETRY_PAUSE_MS, () -> attempt(pending));
    }

    private void retryIfSafe(PendingRequest pending) {
        if (pending.mayResend) {
            retry(pending);
        } else {
            pending.giveUp();
        }
    }

    private void preferNextReplica(int tried, String leaderHint) {
        if (preferred != tried) {
            return;
        }
        String name = leaderHint.isEmpty() ? "" : leaderHint.substring(0, Math.max(0, leaderHint.indexOf('#')));
        for (int i = 0; i < links.size(); i++) {
            if (links.get(i).name().equals(name)) {
                preferred = i;
                return;
            }
        }
        preferred = (tried + 1) % links.size();
    }

    private static OutcomeStatusProto statusOf(EnvelopeProto envelope) {
        return switch (envelope.getBodyCase()) {
            case COMMAND_REPLY -> envelope.getCommandReply().getOutcome().getStatus();
            case HEARTBEAT_ANSWER -> envelope.getHeartbeatAnswer().getStatus();
            case VIEW_REPLY -> envelope.getViewReply().getStatus();
            case QUERY_REPLY -> envelope.getQueryReply().getStatus();
            default -> OutcomeStatusProto.OUTCOME_UNKNOWN;
        };
    }

    private static String leaderHint(EnvelopeProto envelope) {
        return switch (envelope.getBodyCase()) {
            case COMMAND_REPLY -> envelope.getCommandReply().getLeader();
            case HEARTBEAT_ANSWER -> envelope.getHeartbeatAnswer().getLeader();
            case VIEW_REPLY -> envelope.getViewReply().getLeader();
            case QUERY_REPLY -> envelope.getQueryReply().getLeader();
            default -> "";
        };
    }
}
