package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.graph.machine.CrashHistory;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/** One incarnation of a worker, as the leader drives it. */
final class WorkerSession {
    /** A worker that has not answered for this long gets no starts. */
    private static final long UNRESPONSIVE_MS = 3_000;
    /** A worker that leaves a start unanswered this long gets no others; a healthy worker answers in a tenth of it. */
    private static final long OVERDUE_START_MS = 150;
    /** No worker is back sooner after its crash. */
    private static final long MIN_RESTART_MS = 200;
    /** How much later than the crash of a worker the loss of its connections may be noticed. */
    private static final long BROKEN_CONNECTION_DELAY_MS = 200;
    /** Longer than the time between two answers, since a crash is only known to lie between two of them. */
    private static final long HARMLESS_MARGIN_MS = 2_000;

    private static final long NEVER_VERIFIED = -1;

    /** For so long after an unanswered order, gangs avoid the worker; about as long as partitions of single workers last. */
    private static final long RECENTLY_SILENT_MS = 10_000;

    final WorkerRecord record;
    final WorkerClock clock = new WorkerClock();
    final EndAcknowledgement acknowledgement = new EndAcknowledgement();
    final Map<RunKey, RunTracker> runs = new HashMap<>();
    /** Runs that the worker last listed although the log does not have them there; they hold resources until they end. */
    final Set<RunKey> unknownRuns = new HashSet<>();
    /** Runs that were given up when the lease expired; a crash that is noticed later counts against them as well. */
    final Map<RunKey, RunTracker> runsLostWithLease = new HashMap<>();

    /** When each start that awaits its answer was sent, the oldest first. */
    private final Map<RunKey, Long> unansweredStartsSentMs = new LinkedHashMap<>();

    /**
     * Accompanies all orders to this incarnation. It is raised before the worker is used again after runs were given up, and
     * when another incarnation answers, so that no earlier order can begin a run any more.
     */
    long fencingToken;

    /** The worker has seen the fencing token, and its runs are known; it may get leases and orders. */
    boolean activated;
    /** What the worker has reported lately. */
    final ReportHistory reports;

    /** The worker gets no leases and no starts until it lists its runs under a fencing token that was raised since. */
    boolean quarantined;
    /** A renewal awaits its answer. */
    boolean renewalInFlight;
    /** The answer to a start showed another clock; until the next listing the worker gets no starts. */
    boolean otherIncarnationSuspected;
    /** When an order that carries a lease was last sent, on the monotonic clock in milliseconds. */
    long lastLeaseSentMs;
    /** What is known of the incarnation that has taken the place of this one, or null while none has. */
    Succession succession;
    /** A renewal went unanswered, and the worker has not listed its runs since; it may be another incarnation. */
    boolean incarnationUnconfirmed;
    /** An order or a renewal went unanswered, and no answer has arrived since. */
    boolean lastOrderUnanswered;
    /** When the first order or renewal since the last answer went unanswered. */
    private long firstUnansweredMs;

    private long lastUnansweredMs = -RECENTLY_SILENT_MS;

    /** The connection of a renewal broke, and no answer has arrived since. */
    private boolean connectionBroken;

    boolean removalProposed;
    /** Another incarnation has started without this one having announced its end. */
    boolean crashed;

    /** The worker was asked which incarnation it is, and its answer is awaited. */
    boolean verificationInFlight;

    long nextVerificationMs;
    /** When the last question was asked to which this incarnation answered. */
    long verifiedAtMs = NEVER_VERIFIED;

    long nextRenewalMs;
    long lastAnswerMs;
    /** When the worker last listed its runs as this incarnation. */
    long lastListedMs;

    /** The number of the last end that was proposed to the log. */
    long proposedCursor;

    long startsPausedUntilMs;

    WorkerSession(WorkerRecord record, long fencingToken, long nowMs) {
        this.record = record;
        this.fencingToken = fencingToken;
        this.lastAnswerMs = nowMs;
        this.lastLeaseSentMs = nowMs;
        this.reports = new ReportHistory(record.info(), nowMs);
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
        connectionBroken = false;
    }

    void recordUnanswered(long nowMs) {
        lastUnansweredMs = nowMs;
        if (!lastOrderUnanswered) {
            lastOrderUnanswered = true;
            firstUnansweredMs = nowMs;
        }
    }

    /** Records that the connection of a renewal broke, which shows a crash at once, unlike a timeout. */
    void recordBrokenConnection(long nowMs) {
        recordUnanswered(nowMs);
        connectionBroken = true;
    }

    /** The earliest time at which the worker may have been lost, if it is lost. */
    long lostAfterMs() {
        return connectionBroken ? Math.max(lastAnswerMs, firstUnansweredMs - BROKEN_CONNECTION_DELAY_MS) : lastAnswerMs;
    }

    /** Whether the worker has left an order or a renewal unanswered lately. */
    boolean wasSilentLately(long nowMs) {
        return nowMs - lastUnansweredMs < RECENTLY_SILENT_MS;
    }

    /** When the worker first left an order unanswered since its last answer, or now if it has left none. */
    long unansweredSinceMs(long nowMs) {
        return lastOrderUnanswered ? firstUnansweredMs : nowMs;
    }

    /** The runs that may have been on the worker when it last answered, with those given up since. */
    List<RunTracker> runsAtLastAnswer() {
        List<RunTracker> aboard = new ArrayList<>(runsLostWithLease.values());
        runs.values().stream().filter(tracker -> tracker.orderSent).forEach(aboard::add);
        return aboard;
    }

    /** Whether a run had only just begun when the worker last answered, as far as this leader can tell. */
    boolean mayHaveHadRunSoonAfterStart() {
        return runsAtLastAnswer().stream()
                .anyMatch(tracker -> tracker.isUnseen() || tracker.isSoonAfterStart(lastAnswerMs));
    }

    /** Whether a run of a suspect task has not yet lasted for longer than the runs that were lost in crashes. */
    boolean mayCrashUnder(RunRecord run) {
        CrashHistory history = run.step().tasks().get(run.key().task().index()).crashHistory();
        boolean sharesWorker = history.isUnconfirmedSuspect() && hasRunsOfOtherJobs(run);
        if (!history.isSuspect() || sharesWorker) {
            return false;
        }
        RunTracker tracker = runs.get(run.key());
        return tracker == null || tracker.survivedMs(lastAnswerMs) < history.longestSurvivalMs() + HARMLESS_MARGIN_MS;
    }

    private boolean hasRunsOfOtherJobs(RunRecord run) {
        return record.runs().values().stream()
                .anyMatch(other -> other.step().job() != run.step().job());
    }

    void startSent(RunKey run, long nowMs) {
        unansweredStartsSentMs.put(run, nowMs);
    }

    void startSettled(RunKey run) {
        unansweredStartsSentMs.remove(run);
    }

    /** Whether a start awaits its answer, which a healthy worker gives soon, so that a renewal may wait for it. */
    boolean isStartAnswerNear(long nowMs) {
        return !unansweredStartsSentMs.isEmpty() && !isStartOverdue(nowMs) && isListedJustNow(nowMs);
    }

    /** Whether the worker has listed its runs so recently that no other incarnation can have followed it. */
    boolean isListedJustNow(long nowMs) {
        return nowMs - lastListedMs < MIN_RESTART_MS;
    }

    /** Whether a start awaits its answer, or a copy that went unanswered may still begin a run that is not over. */
    boolean mayStartBeginLate() {
        return !unansweredStartsSentMs.isEmpty()
                || runs.values().stream()
                        .anyMatch(tracker -> tracker.phase != RunTracker.Phase.ENDING && tracker.mayBeginLate());
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

    /** Whether the worker's capacity has shrunk below what its runs and committed starts need. */
    boolean isOverCapacity() {
        return !record.used().fitsInto(ResourceVector.of(info().getCapacity()));
    }

    /** Whether the log accounts for all runs that the worker last listed, so that its free capacity is known. */
    boolean isFullyAccounted() {
        return unknownRuns.isEmpty();
    }

    /** Whether no later fencing token was drawn for this incarnation since the given one. */
    boolean isLatestFencingToken(long token) {
        return token == fencingToken;
    }

    /** Whether another incarnation has taken the place of this one, which gets no further orders. */
    boolean isSucceeded() {
        return succession != null;
    }

    /** Whether an answer came from another incarnation, by its start in milliseconds since 1970; 0 is not reported. */
    boolean isOtherIncarnation(long bornMs) {
        return bornMs != 0 && info().getBornMs() != 0 && bornMs != info().getBornMs();
    }

    /** Whether runs of this incarnation may go on under a lease that was reckoned on another clock. */
    boolean mayRunOnSuccessor() {
        return runs.values().stream()
                .anyMatch(tracker -> tracker.phase != RunTracker.Phase.ENDING && tracker.mayRunOnSuccessor());
    }

    /** Whether the worker has announced its end. */
    boolean isLeaving() {
        return reports.isEndAnnounced() || info().getDraining();
    }

    /** Whether runs may be started on this worker. */
    boolean isUsable(long nowMs) {
        return activated
                && !quarantined
                && !isLeaving()
                && !removalProposed
                && !isSucceeded()
                && !otherIncarnationSuspected
                && !lastOrderUnanswered
                && isFullyAccounted()
                && !isStartOverdue(nowMs)
                && startsPausedUntilMs <= nowMs
                && nowMs - lastAnswerMs < UNRESPONSIVE_MS;
    }
}
