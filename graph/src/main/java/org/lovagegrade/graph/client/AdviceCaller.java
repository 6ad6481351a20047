package org.lovagegrade.graph.client;

import java.util.List;
import org.lovagegrade.graph.advice.Adviser;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.wire.proto.AdvicePollProto;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.GraphRequestProto;

/**
 * Polls the leader for questions to the adviser, asks them, and returns the results with the next poll. The adviser
 * serves one call at a time for each process, so every process that is connected to it adds to the rate of questions.
 */
public final class AdviceCaller implements Service {
    /** The name of this service. */
    public static final String NAME = "adviceCaller";

    /** Longer than the leader holds a poll back. */
    private static final long POLL_TIMEOUT_MS = 2_000;
    /** How long the leader may hold a poll back while it has no question; equals the limit in {@code AdviceBroker}. */
    private static final long MAX_HOLD_MS = 500;

    private static final long RETRY_DELAY_MS = 200;

    private final String caller;
    private final LeaderClient client;
    private final Adviser adviser;
    private final EventLoop loop;
    private final Clock clock;
    private final UnreportedResults results = new UnreportedResults();
    private volatile boolean running;

    /**
     * Creates the service.
     *
     * @param caller the name of this process
     * @param client sends polls to the leader
     * @param adviser answers the questions
     * @param loop runs this service
     * @param clock a monotonic clock
     */
    public AdviceCaller(String caller, LeaderClient client, Adviser adviser, EventLoop loop, Clock clock) {
        this.caller = caller;
        this.client = client;
        this.adviser = adviser;
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        running = true;
        poll();
    }

    @Override
    public void stop() {
        running = false;
    }

    private void poll() {
        if (!running) {
            return;
        }
        AdvicePollProto request = AdvicePollProto.newBuilder()
                .setCaller(caller)
                .addAllResults(results.withAges(clock.nowMs()))
                .build();
        client.ask(GraphRequestProto.newBuilder().setAdvice(request).build(), POLL_TIMEOUT_MS, MAX_HOLD_MS)
                .thenAccept(this::handleAnswer);
    }

    private void handleAnswer(LeaderAnswer answer) {
        if (!(answer instanceof LeaderAnswer.Answered answered)) {
            loop.schedule(RETRY_DELAY_MS, this::poll);
            return;
        }
        results.clear();
        List<AdviceQuestionProto> questions = answered.reply().getQuestionsList();
        if (questions.isEmpty()) {
            poll();
            return;
        }
        adviser.ask(questions.get(0), result -> {
            long answeredAtMs = clock.nowMs();
            loop.execute(() -> {
                results.add(result, answeredAtMs);
                poll();
            });
        });
    }
}
