package org.lovagegrade.graph.client;

import java.util.List;
import org.lovagegrade.graph.advice.Adviser;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.wire.proto.AdvicePollProto;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;
import org.lovagegrade.wire.proto.GraphRequestProto;

/**
 * Offers the leader to ask the adviser, over and over: the adviser serves one call at a time for each process, so every
 * process that has a connection to it adds to what can be asked.
 */
public final class AdviceCaller implements Service {
    /** The name of this service. */
    public static final String NAME = "adviceCaller";

    /** Longer than a leader holds an offer. */
    private static final long OFFER_TIMEOUT_MS = 2_000;
    /** How long the leader may keep an offer without a question for it, as its board does. */
    private static final long HOLD_OFFER_MS = 500;

    private static final long PAUSE_MS = 200;

    private final String caller;
    private final LeaderClient client;
    private final Adviser adviser;
    private final EventLoop loop;
    private final Clock clock;
    private volatile boolean running;

    /**
     * Creates the service.
     *
     * @param caller the name of this process
     * @param client asks the leader
     * @param adviser asks the adviser
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
        offer(List.of());
    }

    @Override
    public void stop() {
        running = false;
    }

    private void offer(List<AdviceResultProto> results) {
        if (!running) {
            return;
        }
        AdvicePollProto poll = AdvicePollProto.newBuilder()
                .setCaller(caller)
                .addAllResults(results)
                .build();
        client.ask(GraphRequestProto.newBuilder().setAdvice(poll).build(), OFFER_TIMEOUT_MS, HOLD_OFFER_MS)
                .thenAccept(this::answered);
    }

    private void answered(LeaderAnswer answer) {
        if (!(answer instanceof LeaderAnswer.Answered answered)) {
            loop.schedule(PAUSE_MS, () -> offer(List.of()));
            return;
        }
        List<AdviceQuestionProto> questions = answered.reply().getQuestionsList();
        if (questions.isEmpty()) {
            offer(List.of());
            return;
        }
        adviser.ask(questions.get(0), result -> {
            long heardAtMs = clock.nowMs();
            loop.execute(() -> offer(List.of(
                    result.toBuilder().setAgeMs(clock.nowMs() - heardAtMs).build())));
        });
    }
}
