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
    /** A sound leader answers in a tenth of this; beyond it the other replicas are asked as well. */
    private static final long LATE_MS = 250;
    /** The pause between two replicas that are asked while one keeps silent. */
    private static final long AROUND_PAUSE_MS = 80;
    /** An election takes less; without a leader for this long, a caller does better elsewhere. */
    private static final long LEADERLESS_MS = 1_000;

    private final NetworkThreads loops;
    private final EventLoop loop;
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
    public LeaderClient(NetworkThreads loops, int port, EventLoop loop, Clock clock) {
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
    public void setSeedHosts(List<String> hosts) {
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
        return ask(request, timeoutMs, 0);
    }

    /**
     * Asks the leader for something that it may hold back for a while.
     *
     * @param request the request; taking it in twice must do no harm
     * @param timeoutMs how long to try, in milliseconds
     * @param heldMs how long a sound leader may hold its answer, in milliseconds
     * @return completes with the answer on the loop, never exceptionally
     */
    public CompletableFuture<LeaderAnswer> ask(GraphRequestProto request, long timeoutMs, long heldMs) {
        EnvelopeProto envelope =
                EnvelopeProto.newBuilder().setGraphRequest(request).build();
        Question question = new Question(envelope, clock.nowMs() + timeoutMs, heldMs);
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
        private final long heldMs;
        private final CompletableFuture<LeaderAnswer> result = new CompletableFuture<>();
        private boolean perhapsTaken;
        private int attempts;
        private String lastReason = "no replica is known";

        Question(EnvelopeProto request, long deadlineMs, long heldMs) {
            this.request = request;
            this.deadlineMs = deadlineMs;
            this.heldMs = heldMs;
        }

        /** Whether an attempt is the last one made, and is not answered. */
        boolean isPending(int attempt) {
            return attempt == attempts && !result.isDone();
        }

        void giveUp() {
            result.complete(
                    perhapsTaken ? new LeaderAnswer.Unknown(lastReason) : new LeaderAnswer.NotAccepted(lastReason));
        }
    }

    private void attempt(Question question) {
        long nowMs = clock.nowMs();
        long leftMs = question.deadlineMs - nowMs;
        boolean isHopeless = isSeeking && nowMs - seekingSinceMs > LEADERLESS_MS;
        if (isHopeless && question.attempts > 0) {
            question.giveUp();
            return;
        }
        question.attempts++;
        List<String> hosts = hosts();
        if (leftMs <= 0 || hosts.isEmpty()) {
            question.giveUp();
            return;
        }
        if (!hosts.contains(preferred)) {
            preferred = hosts.get(0);
        }
        int attempt = question.attempts;
        String tried = preferred;
        call(tried, question, Math.min(leftMs, ATTEMPT_TIMEOUT_MS + question.heldMs))
                .thenAccept(result -> loop.execute(() -> came(question, attempt, tried, nowMs, result)));
        loop.schedule(LATE_MS + question.heldMs, () -> askAround(question, attempt, tried, tried));
    }

    private CompletableFuture<RpcResult> call(String host, Question question, long timeoutMs) {
        return links.computeIfAbsent(host, to -> RpcLink.to(loops, new Address(to, port), clock))
                .call(question.request, timeoutMs);
    }

    private List<String> hosts() {
        Set<String> all = new LinkedHashSet<>(replicas);
        all.addAll(seeds);
        return new ArrayList<>(all);
    }

    private String hostAfter(String host) {
        List<String> hosts = hosts();
        return hosts.isEmpty() ? host : hosts.get((hosts.indexOf(host) + 1) % hosts.size());
    }

    private void came(Question question, int attempt, String tried, long askedAtMs, RpcResult result) {
        if (result instanceof RpcResult.Answered answered) {
            answered(question, attempt, tried, answered.envelope().getGraphReply());
        } else if (result instanceof RpcResult.NotSent notSent) {
            unanswered(question, attempt, tried, notSent.reason());
        } else if (result instanceof RpcResult.Lost lost) {
            question.perhapsTaken = true;
            boolean hadTime = clock.nowMs() - askedAtMs >= LATE_MS;
            unanswered(question, attempt, hadTime ? tried : "", lost.reason());
        }
    }

    private void unanswered(Question question, int attempt, String silent, String reason) {
        question.lastReason = reason;
        moveOn(silent, "");
        if (question.isPending(attempt)) {
            again(question);
        }
    }

    // --- leaders that are late

    /**
     * Asks the other replicas, one after the other, while the one that was asked keeps silent; each tells whom it
     * follows, and one that leads by now answers. The question is the same, so nothing is done twice.
     */
    private void askAround(Question question, int attempt, String tried, String last) {
        if (!question.isPending(attempt) || clock.nowMs() >= question.deadlineMs) {
            return;
        }
        question.perhapsTaken = true;
        if (!preferred.equals(tried)) {
            attempt(question);
            return;
        }
        seek(tried, "");
        String next = hostAfter(last);
        String other = next.equals(tried) ? hostAfter(tried) : next;
        if (other.equals(tried)) {
            return;
        }
        call(other, question, LATE_MS)
                .thenAccept(result -> loop.execute(() -> {
                    if (!question.isPending(attempt)) {
                        return;
                    }
                    if (result instanceof RpcResult.Answered answered
                            && leadsTo(
                                    question, other, tried, answered.envelope().getGraphReply())) {
                        return;
                    }
                    loop.schedule(AROUND_PAUSE_MS, () -> askAround(question, attempt, tried, other));
                }));
    }

    /** Whether the word of another replica answers the question or names a leader other than the silent one. */
    private boolean leadsTo(Question question, String other, String silent, GraphReplyProto reply) {
        if (reply.getStatus() == GraphStatusProto.GRAPH_OK && reply.getDocumentVersion() >= highestVersion) {
            answered(question, question.attempts, other, reply);
            return true;
        }
        String hint = reply.getStatus() == GraphStatusProto.GRAPH_NOT_LEADER ? reply.getLeader() : "";
        if (hint.isEmpty() || hint.equals(silent)) {
            return false;
        }
        if (preferred.equals(silent)) {
            replicas.add(hint);
            preferred = hint;
        }
        attempt(question);
        return true;
    }

    private void answered(Question question, int attempt, String tried, GraphReplyProto reply) {
        replicas.addAll(reply.getReplicasList());
        boolean isFromPast =
                reply.getStatus() == GraphStatusProto.GRAPH_OK && reply.getDocumentVersion() < highestVersion;
        if (isFromPast) {
            unanswered(question, attempt, tried, "the leader that answered has been replaced");
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
            case GRAPH_BUSY -> {
                question.lastReason = "too many requests wait at the leader";
                question.giveUp();
            }
            case GRAPH_NOT_LEADER -> {
                question.lastReason = "no leader";
                moveOn(tried, reply.getLeader());
                if (question.isPending(attempt)) {
                    again(question);
                }
            }
            default -> {
                question.perhapsTaken = true;
                unanswered(question, attempt, tried, "the leader changed");
            }
        }
    }

    private void found(String host) {
        if (isSeeking) {
            isSeeking = false;
            preferred = host;
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
        if (!hint.isEmpty() && !hint.equals(tried)) {
            replicas.add(hint);
            preferred = hint;
        } else {
            preferred = hostAfter(tried);
        }
        seek(tried, hint);
    }

    private void seek(String tried, String hint) {
        if (!isSeeking) {
            isSeeking = true;
            seekingSinceMs = clock.nowMs();
            Log.event("leaderLost").with("host", tried).with("hint", hint).warn();
        }
    }
}
