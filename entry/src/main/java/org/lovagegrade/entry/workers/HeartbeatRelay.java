package org.lovagegrade.entry.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagegrade.entry.state.StateAnswer;
import org.lovagegrade.entry.state.StateClient;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.HeartbeatAnswerProto;
import org.lovagegrade.wire.proto.HeartbeatBatchProto;
import org.lovagegrade.wire.proto.HeartbeatProto;

/** Gathers workers' heartbeats for a moment and takes them to the leader together. For the entry's loop only. */
public final class HeartbeatRelay {
    private static final long GATHER_MS = 10;
    private static final int MOST_PER_BATCH = 256;
    private static final long ASK_TIMEOUT_MS = 1_500;

    private final StateClient state;
    private final EventLoop loop;
    private List<Waiting> gathered = new ArrayList<>();
    private boolean scheduled;

    /** A heartbeat whose worker waits for the answer. */
    private record Waiting(HeartbeatProto heartbeat, Consumer<Optional<HeartbeatAnswerProto>> reply) {}

    /**
     * Creates the relay.
     *
     * @param state asks the leader
     * @param loop the entry's loop
     */
    public HeartbeatRelay(StateClient state, EventLoop loop) {
        this.state = state;
        this.loop = loop;
    }

    /**
     * Takes a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param reply takes the leader's answer, once; empty if no leader answered in time
     */
    public void relay(HeartbeatProto heartbeat, Consumer<Optional<HeartbeatAnswerProto>> reply) {
        gathered.add(new Waiting(heartbeat, reply));
        if (gathered.size() >= MOST_PER_BATCH) {
            flush();
        } else if (!scheduled) {
            scheduled = true;
            loop.schedule(GATHER_MS, this::flush);
        }
    }

    private void flush() {
        scheduled = false;
        if (gathered.isEmpty()) {
            return;
        }
        List<Waiting> batch = gathered;
        gathered = new ArrayList<>();
        HeartbeatBatchProto.Builder request = HeartbeatBatchProto.newBuilder();
        batch.forEach(waiting -> request.addHeartbeats(waiting.heartbeat()));
        state.ask(EnvelopeProto.newBuilder().setHeartbeatBatch(request).build(), ASK_TIMEOUT_MS, false)
                .thenAccept(answer -> loop.execute(() -> answered(batch, answer)));
    }

    private static void answered(List<Waiting> batch, StateAnswer answer) {
        Map<String, HeartbeatAnswerProto> byWorker = new HashMap<>();
        if (answer instanceof StateAnswer.Answered answered) {
            answered.envelope()
                    .getHeartbeatAnswer()
                    .getAnswersList()
                    .forEach(one -> byWorker.put(one.getWorker(), one));
        }
        batch.forEach(waiting -> waiting.reply()
                .accept(Optional.ofNullable(byWorker.get(waiting.heartbeat().getWorker()))));
    }
}
