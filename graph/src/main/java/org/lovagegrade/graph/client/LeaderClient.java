package org.lovagegrade.graph.client;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;
import org.lovagegrade.wire.RpcLink;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphRequestProto;
import org.lovagegrade.wire.proto.GraphStatusProto;

/**
 * Finds the leader and sends it requests. The client starts with the seed hosts, learns the other replicas from
 * replies, and forgets none, so that it finds the group again after any network partition. Every request must be
 * idempotent, since the client may send it more than once.
 *
 * <p>Example: {@code client.ask(request, 2_000).thenAccept(answer -> ...);}
 */
public final class LeaderClient implements Service {
    /** The name of this service. */
    public static final String NAME = "leaderClient";

    private static final long ATTEMPT_TIMEOUT_MS = 800;
    private static final long RETRY_DELAY_MS = 40;
    /** A healthy leader answers in a tenth of this; after it the other replicas are asked as well. */
    private static final long LATE_ANSWER_MS = 250;
    /** The delay between requests to other replicas while one is unresponsive. */
    private static final long PROBE_INTERVAL_MS = 80;
    /** An election takes less; after this time without a leader, requests fail early and callers can try elsewhere. */
    private static final long MAX_LEADERLESS_MS = 1_000;

    private final NetworkThreads loops;
    private final EventLoop loop;
    private final Clock clock;
    private final int port;
    private final Map<String, RpcLink> links = new LinkedHashMap<>();
    private final Set<String> seedHosts = new LinkedHashSet<>();
    private final Set<String> replicaHosts = new LinkedHashSet<>();
    private String preferredHost = "";
    private long highestDocumentVersion;
    private boolean isLeaderLost;
    private long leaderLostAtMs;
    private volatile long answeredAtMs;
    private volatile boolean hasAnswered;

    /**
     * Creates the client; links connect with their first request.
     *
     * @param loops the network threads
     * @param port the port on which every replica listens for internal requests
     * @param loop selects replicas and completes requests
     * @param clock a monotonic clock
     */
    public LeaderClient(NetworkThreads loops, int port, EventLoop loop, Clock clock) {
        this.loops = loops;
        this.port = port;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Replaces the seed hosts.
     *
     * @param hosts the new seed hosts
     */
    public void setSeedHosts(List<String> hosts) {
        loop.execute(() -> {
            seedHosts.clear();
            seedHosts.addAll(hosts);
        });
    }

    /**
     * Sends a request to the leader.
     *
     * @param request the request, which must be idempotent
     * @param timeoutMs how long to try, in milliseconds
     * @return completes with the answer on the loop, never exceptionally
     */
    public CompletableFuture<LeaderAnswer> ask(GraphRequestProto request, long timeoutMs) {
        return ask(request, timeoutMs, 0);
    }

    /**
     * Sends a request whose reply the leader may hold back for a while.
     *
     * @param request the request, which must be idempotent
     * @param timeoutMs how long to try, in milliseconds
     * @param maxHoldMs how long a healthy leader may hold its reply back, in milliseconds
     * @return completes with the answer on the loop, never exceptionally
     */
    public CompletableFuture<LeaderAnswer> ask(GraphRequestProto request, long timeoutMs, long maxHoldMs) {
        EnvelopeProto envelope =
                EnvelopeProto.newBuilder().setGraphRequest(request).build();
        PendingRequest pending = new PendingRequest(envelope, clock.nowMs() + timeoutMs, maxHoldMs);
        loop.execute(() -> attempt(pending));
        return pending.result;
    }

    /**
     * Whether a leader has answered recently.
     *
     * @param withinMs how long ago at most, in milliseconds
     * @return true if so
     */
    public boolean answeredWithin(long withinMs) {
        return hasAnswered && clock.nowMs() - answeredAtMs <= withinMs;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        loop.execute(() -> links.values().forEach(RpcLink::close));
    }

    /** A request that has no outcome yet. */
    private static final class PendingRequest {
        private final EnvelopeProto request;
        private final long deadlineMs;
        private final long maxHoldMs;
        private final CompletableFuture<LeaderAnswer> result = new CompletableFuture<>();
        private boolean mayBeAccepted;
        private int attempts;
        private String lastReason = "no replica is known";

        PendingRequest(EnvelopeProto request, long deadlineMs, long maxHoldMs) {
            this.request = request;
            this.deadlineMs = deadlineMs;
            this.maxHoldMs = maxHoldMs;
        }

        /** Whether an attempt is the latest one and the request has no outcome yet. */
        boolean isPending(int attempt) {
            return attempt == attempts && !result.isDone();
        }

        void giveUp() {
            result.complete(
                    mayBeAccepted ? new LeaderAnswer.Unknown(lastReason) : new LeaderAnswer.NotAccepted(lastReason));
        }
    }

    private void attempt(PendingRequest pending) {
        long nowMs = clock.nowMs();
        long remainingMs = pending.deadlineMs - nowMs;
        boolean isLeaderless = isLeaderLost && nowMs - leaderLostAtMs > MAX_LEADERLESS_MS;
        if (isLeaderless && pending.attempts > 0) {
            pending.giveUp();
            return;
        }
        pending.attempts++;
        List<String> hosts = hosts();
        if (remainingMs <= 0 || hosts.isEmpty()) {
            pending.giveUp();
            return;
        }
        if (!hosts.contains(preferredHost)) {
            preferredHost = hosts.get(0);
        }
        int attempt = pending.attempts;
        String triedHost = preferredHost;
        send(triedHost, pending, Math.min(remainingMs, ATTEMPT_TIMEOUT_MS + pending.maxHoldMs))
                .thenAccept(result -> loop.execute(() -> handleResult(pending, attempt, triedHost, nowMs, result)));
        loop.schedule(LATE_ANSWER_MS + pending.maxHoldMs, () -> askOthers(pending, attempt, triedHost, triedHost));
    }

    private CompletableFuture<RpcResult> send(String host, PendingRequest pending, long timeoutMs) {
        return links.computeIfAbsent(host, to -> RpcLink.to(loops, new Address(to, port), clock))
                .call(pending.request, timeoutMs);
    }

    private List<String> hosts() {
        Set<String> all = new LinkedHashSet<>(replicaHosts);
        all.addAll(seedHosts);
        return new ArrayList<>(all);
    }

    private String hostAfter(String host) {
        List<String> hosts = hosts();
        return hosts.isEmpty() ? host : hosts.get((hosts.indexOf(host) + 1) % hosts.size());
    }

    private void handleResult(PendingRequest pending, int attempt, String triedHost, long sentAtMs, RpcResult result) {
        if (result instanceof RpcResult.Answered answered) {
            handleReply(pending, attempt, triedHost, answered.envelope().getGraphReply());
        } else if (result instanceof RpcResult.NotSent notSent) {
            handleMissingAnswer(pending, attempt, triedHost, notSent.reason());
        } else if (result instanceof RpcResult.Lost lost) {
            pending.mayBeAccepted = true;
            boolean hadTime = clock.nowMs() - sentAtMs >= LATE_ANSWER_MS;
            handleMissingAnswer(pending, attempt, hadTime ? triedHost : "", lost.reason());
        }
    }

    private void handleMissingAnswer(PendingRequest pending, int attempt, String unresponsiveHost, String reason) {
        pending.lastReason = reason;
        switchHost(unresponsiveHost, "");
        if (pending.isPending(attempt)) {
            retryLater(pending);
        }
    }

    // --- late leaders

    /**
     * Sends the request to the other replicas, one after the other, while the one that was asked is unresponsive. A
     * follower names its leader, and a new leader answers. Since the request is idempotent, sending it again is safe.
     */
    private void askOthers(PendingRequest pending, int attempt, String triedHost, String lastHost) {
        if (!pending.isPending(attempt) || clock.nowMs() >= pending.deadlineMs) {
            return;
        }
        pending.mayBeAccepted = true;
        if (!preferredHost.equals(triedHost)) {
            attempt(pending);
            return;
        }
        markLeaderLost(triedHost, "");
        String next = hostAfter(lastHost);
        String otherHost = next.equals(triedHost) ? hostAfter(triedHost) : next;
        if (otherHost.equals(triedHost)) {
            return;
        }
        send(otherHost, pending, LATE_ANSWER_MS)
                .thenAccept(result -> loop.execute(() -> {
                    if (!pending.isPending(attempt)) {
                        return;
                    }
                    if (result instanceof RpcResult.Answered answered
                            && handleReplyOfOther(
                                    pending,
                                    otherHost,
                                    triedHost,
                                    answered.envelope().getGraphReply())) {
                        return;
                    }
                    loop.schedule(PROBE_INTERVAL_MS, () -> askOthers(pending, attempt, triedHost, otherHost));
                }));
    }

    /** Returns whether the reply of another replica completes the request or names a leader other than the late one. */
    private boolean handleReplyOfOther(
            PendingRequest pending, String otherHost, String unresponsiveHost, GraphReplyProto reply) {
        if (reply.getStatus() == GraphStatusProto.GRAPH_OK && reply.getDocumentVersion() >= highestDocumentVersion) {
            handleReply(pending, pending.attempts, otherHost, reply);
            return true;
        }
        String leaderHint = reply.getStatus() == GraphStatusProto.GRAPH_NOT_LEADER ? reply.getLeader() : "";
        if (leaderHint.isEmpty() || leaderHint.equals(unresponsiveHost)) {
            return false;
        }
        if (preferredHost.equals(unresponsiveHost)) {
            replicaHosts.add(leaderHint);
            preferredHost = leaderHint;
        }
        attempt(pending);
        return true;
    }

    private void handleReply(PendingRequest pending, int attempt, String triedHost, GraphReplyProto reply) {
        replicaHosts.addAll(reply.getReplicasList());
        boolean isStale =
                reply.getStatus() == GraphStatusProto.GRAPH_OK && reply.getDocumentVersion() < highestDocumentVersion;
        if (isStale) {
            handleMissingAnswer(pending, attempt, triedHost, "the leader that answered has been replaced");
            return;
        }
        switch (reply.getStatus()) {
            case GRAPH_OK -> {
                highestDocumentVersion = reply.getDocumentVersion();
                answeredAtMs = clock.nowMs();
                markLeaderFound(triedHost);
                hasAnswered = true;
                pending.result.complete(new LeaderAnswer.Answered(reply, pending.mayBeAccepted));
            }
            case GRAPH_BUSY -> {
                pending.lastReason = "too many requests wait at the leader";
                pending.giveUp();
            }
            case GRAPH_NOT_LEADER -> {
                pending.lastReason = "no leader";
                switchHost(triedHost, reply.getLeader());
                if (pending.isPending(attempt)) {
                    retryLater(pending);
                }
            }
            default -> {
                pending.mayBeAccepted = true;
                handleMissingAnswer(pending, attempt, triedHost, "the leader changed");
            }
        }
    }

    private void markLeaderFound(String host) {
        if (isLeaderLost) {
            isLeaderLost = false;
            preferredHost = host;
            Log.event("leaderFound").with("host", host).info();
        }
    }

    private void retryLater(PendingRequest pending) {
        loop.schedule(RETRY_DELAY_MS, () -> attempt(pending));
    }

    private void switchHost(String triedHost, String leaderHint) {
        if (!preferredHost.equals(triedHost)) {
            return;
        }
        if (!leaderHint.isEmpty() && !leaderHint.equals(triedHost)) {
            replicaHosts.add(leaderHint);
            preferredHost = leaderHint;
        } else {
            preferredHost = hostAfter(triedHost);
        }
        markLeaderLost(triedHost, leaderHint);
    }

    private void markLeaderLost(String triedHost, String leaderHint) {
        if (!isLeaderLost) {
            isLeaderLost = true;
            leaderLostAtMs = clock.nowMs();
            Log.event("leaderLost")
                    .with("host", triedHost)
                    .with("hint", leaderHint)
                    .warn();
        }
    }
}
