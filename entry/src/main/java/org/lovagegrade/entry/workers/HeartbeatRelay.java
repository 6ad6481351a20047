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

/** Collects heartbeats of workers and sends them to the leader in batches. Must be used on the entry's loop only. */
public final class HeartbeatRelay {
    private static final long BATCH_WINDOW_MS = 10;
    private static final int MAX_BATCH_SIZE = 256;
    private static final long REQUEST_TIMEOUT_MS = 1_500;

    private final StateClient state;
    private final EventLoop loop;
    private List<PendingHeartbeat> pending = new ArrayList<>();
    private boolean flushScheduled;

    /** A heartbeat with the callback for its answer. */
    private record PendingHeartbeat(HeartbeatProto heartbeat, Consumer<Optional<HeartbeatAnswerProto>> reply) {}

    /**
     * Creates the relay.
     *
     * @param state the client of the state replicas
     * @param loop the entry's loop
     */
    public HeartbeatRelay(StateClient state, EventLoop loop) {
        this.state = state;
        this.loop = loop;
    }

    /**
     * Sends a heartbeat to the leader with the next batch.
     *
     * @param heartbeat the heartbeat
     * @param reply receives the answer of the leader exactly once; empty if no leader answered in time
     */
    public void relay(HeartbeatProto heartbeat, Consumer<Optional<HeartbeatAnswerProto>> reply) {
        pending.add(new PendingHeartbeat(heartbeat, reply));
        if (pending.size() >= MAX_BATCH_SIZE) {
            flush();
        } else if (!flushScheduled) {
            flushScheduled = true;
            loop.schedule(BATCH_WINDOW_MS, this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        if (pending.isEmpty()) {
            return;
        }
        List<PendingHeartbeat> batch = pending;
        pending = new ArrayList<>();
        HeartbeatBatchProto.Builder request = HeartbeatBatchProto.newBuilder();
        batch.forEach(queued -> request.addHeartbeats(queued.heartbeat()));
        state.ask(EnvelopeProto.newBuilder().setHeartbeatBatch(request).build(), REQUEST_TIMEOUT_MS, false)
                .thenAccept(answer -> loop.execute(() -> onAnswer(batch, answer)));
    }

    private static void onAnswer(List<PendingHeartbeat> batch, StateAnswer answer) {
        Map<String, HeartbeatAnswerProto> byWorker = new HashMap<>();
        if (answer instanceof StateAnswer.Answered answered) {
            answered.envelope()
                    .getHeartbeatAnswer()
                    .getAnswersList()
                    .forEach(workerAnswer -> byWorker.put(workerAnswer.getWorker(), workerAnswer));
        }
        batch.forEach(queued -> queued.reply()
                .accept(Optional.ofNullable(byWorker.get(queued.heartbeat().getWorker()))));
    }
}
