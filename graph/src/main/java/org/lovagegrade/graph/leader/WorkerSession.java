package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/** One life of a worker as the leader drives it. */
final class WorkerSession {
    /** A worker that answered nothing for this long gets no starts. */
    private static final long SILENT_MS = 3_000;
    /** A worker that leaves a start unanswered for this long gets no other; sound ones answer in a tenth of it. */
    private static final long LATE_START_MS = 150;

    final WorkerRecord record;
    final WorkerClock clock = new WorkerClock();
    final Map<RunKey, RunOrder> orders = new HashMap<>();
    /** Runs given up while their start might still arrive; stopped before the worker is used again. */
    final Set<RunKey> tombstones = new HashSet<>();
    /** Runs with a start that was not answered, and until when such an order may still arrive. */
    final Map<RunKey, Long> doubtedUntilMs = new HashMap<>();

    /** When each start that is not answered yet was sent, the oldest first. */
    private final Map<RunKey, Long> startsSentMs = new LinkedHashMap<>();

    boolean introduced;
    boolean lapsed;
    boolean leaving;
    boolean renewing;
    boolean unanswered;
    boolean goneProposed;
    long nextRenewMs;
    long heardAtMs;
    long beatAtMs;
    long proposedCursor;
    long unwellUntilMs;

    WorkerSession(WorkerRecord record, long nowMs) {
        this.record = record;
        this.heardAtMs = nowMs;
        this.beatAtMs = nowMs;
        this.proposedCursor = record.cursor();
    }

    WorkerProto info() {
        return record.info();
    }

    String id() {
        return record.info().getId();
    }

    void answered(long nowMs) {
        heardAtMs = nowMs;
        unanswered = false;
    }

    void startSent(RunKey run, long nowMs) {
        startsSentMs.put(run, nowMs);
    }

    void startSettled(RunKey run) {
        startsSentMs.remove(run);
    }

    /** Whether a start waits for its answer for longer than a sound worker takes. */
    boolean isLate(long nowMs) {
        return !startsSentMs.isEmpty()
                && nowMs - startsSentMs.values().iterator().next() >= LATE_START_MS;
    }

    /** Whether the worker has said anything within the time that a start may take. */
    boolean isHeard(long nowMs) {
        return nowMs - heardAtMs < LATE_START_MS;
    }

    /** Whether new runs may be ordered here. */
    boolean isUsable(long nowMs) {
        return introduced
                && !lapsed
                && !leaving
                && !goneProposed
                && !unanswered
                && !isLate(nowMs)
                && !info().getDraining()
                && unwellUntilMs <= nowMs
                && nowMs - heardAtMs < SILENT_MS;
    }
}
