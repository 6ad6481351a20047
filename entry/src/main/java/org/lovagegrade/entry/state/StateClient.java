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
 * Finds the leader of the fleet's state and asks it. A request that may have been taken in is sent again only if the
 * caller says that a resend is safe.
 *
 * <p>Example: {@code client.ask(request, 2_000, true).thenAccept(answer -> ...);}
 */
public final class StateClient implements Service {
    /** The name of this service. */
    public static final String NAME = "stateClient";

    private static final long ATTEMPT_TIMEOUT_MS = 1_500;
    private static final long PAUSE_MS = 50;

    private final EventLoop loop;
    private final Clock clock;
    private final List<NamedLink> links = new ArrayList<>();
    private int preferred;

    /** A link to one replica. */
    private record NamedLink(String name, RpcLink link) {}

    /**
     * Creates the client; links connect with their first request.
     *
     * @param loops the network threads
     * @param replicas the state replicas by name
     * @param loop runs the choice of replicas
     * @param clock a monotonic clock
     */
    public StateClient(NetworkThreads loops, Map<String, Address> replicas, EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        replicas.forEach((name, address) -> links.add(new NamedLink(name, RpcLink.to(loops, address, clock))));
    }

    /**
     * Asks the leader.
     *
     * @param request the request
     * @param timeoutMs how long to try, in milliseconds
     * @param mayResend whether the request may be taken in twice without harm
     * @return completes with the answer on the loop, never exceptionally
     */
    public CompletableFuture<StateAnswer> ask(EnvelopeProto request, long timeoutMs, boolean mayResend) {
        CompletableFuture<StateAnswer> result = new CompletableFuture<>();
        Question question = new Question(request, clock.nowMs() + timeoutMs, mayResend, result);
        loop.execute(() -> attempt(question));
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

    /** A request on its way to the leader. */
    private static final class Question {
        private final EnvelopeProto request;
        private final long deadlineMs;
        private final boolean mayResend;
        private final CompletableFuture<StateAnswer> result;
        private boolean perhapsTaken;
        private String lastReason = "no replica answered";

        Question(EnvelopeProto request, long deadlineMs, boolean mayResend, CompletableFuture<StateAnswer> result) {
            this.request = request;
            this.deadlineMs = deadlineMs;
            this.mayResend = mayResend;
            this.result = result;
        }

        void giveUp() {
            result.complete(perhapsTaken ? new StateAnswer.Unknown(lastReason) : new StateAnswer.NotTaken(lastReason));
        }
    }

    private void attempt(Question question) {
        long leftMs = question.deadlineMs - clock.nowMs();
        if (leftMs <= 0 || links.isEmpty()) {
            question.giveUp();
            return;
        }
        int tried = preferred;
        links.get(tried)
                .link()
                .call(question.request, Math.min(leftMs, ATTEMPT_TIMEOUT_MS))
                .thenAccept(result -> loop.execute(() -> came(question, tried, result)));
    }

    private void came(Question question, int tried, RpcResult result) {
        if (result instanceof RpcResult.Answered answered) {
            answered(question, tried, answered.envelope());
        } else if (result instanceof RpcResult.NotSent notSent) {
            question.lastReason = notSent.reason();
            moveOn(tried, "");
            again(question);
        } else if (result instanceof RpcResult.Lost lost) {
            question.perhapsTaken = true;
            question.lastReason = lost.reason();
            moveOn(tried, "");
            againIfSafe(question);
        }
    }

    private void answered(Question question, int tried, EnvelopeProto envelope) {
        OutcomeStatusProto status = statusOf(envelope);
        if (status == OutcomeStatusProto.NOT_LEADER) {
            question.lastReason = "no leader";
            moveOn(tried, leaderHint(envelope));
            again(question);
        } else if (status == OutcomeStatusProto.OUTCOME_UNKNOWN) {
            question.perhapsTaken = true;
            question.lastReason = "the leader changed";
            moveOn(tried, "");
            againIfSafe(question);
        } else {
            question.result.complete(new StateAnswer.Answered(envelope));
        }
    }

    private void again(Question question) {
        loop.schedule(PAUSE_MS, () -> attempt(question));
    }

    private void againIfSafe(Question question) {
        if (question.mayResend) {
            again(question);
        } else {
            question.giveUp();
        }
    }

    private void moveOn(int tried, String leaderHint) {
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
