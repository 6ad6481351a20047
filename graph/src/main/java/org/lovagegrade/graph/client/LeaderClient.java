package org.lovagegrade.graph.client;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Loop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.Loops;
import org.lovagegrade.wire.RpcLink;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphRequestProto;
import org.lovagegrade.wire.proto.GraphStatusProto;

/**
 * Finds the leader and asks it. It begins with seed hosts, learns the others from answers, and forgets none, so that it
 * finds the group again after any cut. Every request must be such that taking it in twice does no harm.
 *
 * <p>Example: {@code client.ask(request, 2_000).thenAccept(answer -> ...);}
 */
public final class LeaderClient implements Service {
    /** The name of this service. */
    public static final String NAME = "leaderClient";

    private static final long ATTEMPT_TIMEOUT_MS = 800;
    private static final long PAUSE_MS = 40;
    /** An election takes less; without a leader for this long, a caller does better elsewhere. */
    private static final long LEADERLESS_MS = 1_000;

    private final Loops loops;
    private final Loop loop;
    private final Clock clock;
    private final int port;
    private final Map<String, RpcLink> links = new LinkedHashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final Set<String> replicas = new LinkedHashSet<>();
    private String preferred = "";
    private long highestVersion;
    private boolean isSeeking;
    private long seekingSinceMs;
    private volatile long answeredAtMs;
    private volatile boolean hasAnswered;

    /**
     * Creates the client; links connect with their first request.
     *
     * @param loops the network threads
     * @param port the port at which every replica listens for the project's own processes
     * @param loop runs the choice of replicas
     * @param clock a monotonic clock
     */
    public LeaderClient(Loops loops, int port, Loop loop, Clock clock) {
        this.loops = loops;
        this.port = port;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Replaces the hosts that the settings name.
     *
     * @param hosts the seed hosts
     */
    public void seeds(List<String> hosts) {
        loop.execute(() -> {
            seeds.clear();
            seeds.addAll(hosts);
        });
    }

    /**
     * Asks the leader.
     *
     * @param request the request; taking it in twice must do no harm
     * @param timeoutMs how long to try, in milliseconds
     * @return completes with the answer on the loop, never exceptionally
     */
    public CompletableFuture<LeaderAnswer> ask(GraphRequestProto request, long timeoutMs) {
        return ask(request, timeoutMs, ATTEMPT_TIMEOUT_MS);
    }

    /**
     * Asks the leader, and gives each attempt its own time.
     *
     * @param request the request; taking it in twice must do no harm
     * @param timeoutMs how long to try, in milliseconds
     * @param attemptMs how long to wait for one replica, in milliseconds
     * @return completes with the answer on the loop, never exceptionally
     */
    public CompletableFuture<LeaderAnswer> ask(GraphRequestProto request, long timeoutMs, long attemptMs) {
        EnvelopeProto envelope =
                EnvelopeProto.newBuilder().setGraphRequest(request).build();
        Question question = new Question(envelope, clock.nowMs() + timeoutMs, attemptMs);
        loop.execute(() -> attempt(question));
        return question.result;
    }

    /**
     * Whether a leader has answered lately.
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

    /** A request on its way to the leader. */
    private static final class Question {
        private final EnvelopeProto request;
        private final long deadlineMs;
        private final long attemptMs;
        private final CompletableFuture<LeaderAnswer> result = new CompletableFuture<>();
        private boolean perhapsTaken;
        private boolean hasTried;
        private String lastReason = "no replica is known";

        Question(EnvelopeProto request, long deadlineMs, long attemptMs) {
            this.request = request;
            this.deadlineMs = deadlineMs;
            this.attemptMs = attemptMs;
        }

        void giveUp() {
            result.complete(
                    perhapsTaken ? new LeaderAnswer.Unknown(lastReason) : new LeaderAnswer.NotTaken(lastReason));
        }
    }

    private void attempt(Question question) {
        long nowMs = clock.nowMs();
        long leftMs = question.deadlineMs - nowMs;
        boolean isHopeless = isSeeking && nowMs - seekingSinceMs > LEADERLESS_MS;
        if (isHopeless && question.hasTried) {
            question.giveUp();
            return;
        }
        question.hasTried = true;
        List<String> hosts = hosts();
        if (leftMs <= 0 || hosts.isEmpty()) {
            question.giveUp();
            return;
        }
        if (!hosts.contains(preferred)) {
            preferred = hosts.get(0);
        }
        String tried = preferred;
        links.computeIfAbsent(tried, host -> RpcLink.to(loops, new Address(host, port), clock))
                .call(question.request, Math.min(leftMs, question.attemptMs))
                .thenAccept(result -> loop.execute(() -> came(question, tried, result)));
    }

    private List<String> hosts() {
        Set<String> all = new LinkedHashSet<>(replicas);
        all.addAll(seeds);
        return new ArrayList<>(all);
    }

    private void came(Question question, String tried, RpcResult result) {
        if (result instanceof RpcResult.Answered answered) {
            answered(question, tried, answered.envelope().getGraphReply());
        } else if (result instanceof RpcResult.NotSent notSent) {
            question.lastReason = notSent.reason();
            moveOn(tried, "");
            again(question);
        } else if (result instanceof RpcResult.Lost lost) {
            question.perhapsTaken = true;
            question.lastReason = lost.reason();
            moveOn(tried, "");
            again(question);
        }
    }

    private void answered(Question question, String tried, GraphReplyProto reply) {
        replicas.addAll(reply.getReplicasList());
        boolean isFromPast =
                reply.getStatus() == GraphStatusProto.GRAPH_OK && reply.getDocumentVersion() < highestVersion;
        if (isFromPast) {
            question.lastReason = "the leader that answered has been replaced";
            moveOn(tried, "");
            again(question);
            return;
        }
        switch (reply.getStatus()) {
            case GRAPH_OK -> {
                highestVersion = reply.getDocumentVersion();
                answeredAtMs = clock.nowMs();
                found(tried);
                hasAnswered = true;
                question.result.complete(new LeaderAnswer.Answered(reply, question.perhapsTaken));
            }
            case GRAPH_NOT_LEADER, GRAPH_BUSY -> {
                question.lastReason = "no leader";
                moveOn(tried, reply.getLeader());
                again(question);
            }
            default -> {
                question.perhapsTaken = true;
                question.lastReason = "the leader changed";
                moveOn(tried, "");
                again(question);
            }
        }
    }

    private void found(String host) {
        if (isSeeking) {
            isSeeking = false;
            Log.event("leaderFound").with("host", host).info();
        }
    }

    private void again(Question question) {
        loop.schedule(PAUSE_MS, () -> attempt(question));
    }

    private void moveOn(String tried, String hint) {
        if (!preferred.equals(tried)) {
            return;
        }
        List<String> hosts = hosts();
        if (!hint.isEmpty() && !hint.equals(tried)) {
            replicas.add(hint);
            preferred = hint;
        } else if (!hosts.isEmpty()) {
            preferred = hosts.get((hosts.indexOf(tried) + 1) % hosts.size());
        }
        if (!isSeeking) {
            isSeeking = true;
            seekingSinceMs = clock.nowMs();
            Log.event("leaderLost").with("host", tried).with("hint", hint).warn();
        }
    }
}
