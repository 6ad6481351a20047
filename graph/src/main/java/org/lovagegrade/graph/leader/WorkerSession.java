package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/** One incarnation of a worker, as the leader drives it. */
final class WorkerSession {
    /** A worker that has not answered for this long gets no starts. */
    private static final long UNRESPONSIVE_MS = 3_000;
    /** A worker that leaves a start unanswered this long gets no others; a healthy worker answers in a tenth of it. */
    private static final long OVERDUE_START_MS = 150;

    final WorkerRecord record;
    final WorkerClock clock = new WorkerClock();
    final Map<RunKey, RunTracker> runs = new HashMap<>();
    /** Runs given up while their start may still arrive; they are stopped before the worker is used again. */
    final Set<RunKey> abandonedRuns = new HashSet<>();
    /** For each run with an unanswered start, the time until which that start may still arrive. */
    final Map<RunKey, Long> lateStartPossibleUntilMs = new HashMap<>();

    /** When each start that awaits its answer was sent, the oldest first. */
    private final Map<RunKey, Long> unansweredStartsSentMs = new LinkedHashMap<>();

    /** The worker has seen the fencing token of this term and had no abandoned runs; it may get leases and orders. */
    boolean activated;
    /** The worker gets no leases and no starts until it answers and all its abandoned runs are stopped. */
    boolean quarantined;
    /** The worker has announced that it is leaving. */
    boolean leaving;
    /** A renewal, or the stop of an abandoned run sent in its place, awaits its answer. */
    boolean renewalInFlight;
    /** An order or a renewal went unanswered, and no answer has arrived since. */
    boolean lastOrderUnanswered;

    boolean removalProposed;
    long nextRenewalMs;
    long lastAnswerMs;
    long lastHeartbeatMs;
    /** The number of the last end that was proposed to the log. */
    long proposedCursor;

    long startsPausedUntilMs;

    WorkerSession(WorkerRecord record, long nowMs) {
        this.record = record;
        this.lastAnswerMs = nowMs;
        this.lastHeartbeatMs = nowMs;
        this.proposedCursor = record.cursor();
    }

    WorkerProto info() {
        return record.info();
    }

    String id() {
        return record.info().getId();
    }

    void recordAnswer(long nowMs) {
        lastAnswerMs = nowMs;
        lastOrderUnanswered = false;
    }

    void startSent(RunKey run, long nowMs) {
        unansweredStartsSentMs.put(run, nowMs);
    }

    void startSettled(RunKey run) {
        unansweredStartsSentMs.remove(run);
    }

    /** Whether a start has awaited its answer for longer than a healthy worker takes. */
    boolean isStartOverdue(long nowMs) {
        return !unansweredStartsSentMs.isEmpty()
                && nowMs - unansweredStartsSentMs.values().iterator().next() >= OVERDUE_START_MS;
    }

    /** Whether the worker has answered within the time that a start may take. */
    boolean isResponsive(long nowMs) {
        return nowMs - lastAnswerMs < OVERDUE_START_MS;
    }

    /** Whether runs may be started on this worker. */
    boolean isUsable(long nowMs) {
        return activated
                && !quarantined
                && !leaving
                && !removalProposed
                && !lastOrderUnanswered
                && !isStartOverdue(nowMs)
                && !info().getDraining()
                && startsPausedUntilMs <= nowMs
                && nowMs - lastAnswerMs < UNRESPONSIVE_MS;
    }
}
