package org.lovagegrade.graph.leader;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.worker.EndedRunView;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.RunView;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;

/**
 * Settles the runs of an incarnation once another one answers under its id. Starts that were meant for the former one may
 * have begun on the other, or may still do so: an id doesn't tell them apart. So the other one is asked for its runs under a
 * fencing token that is higher than those of all earlier orders. After its answer none of these has an effect, and its
 * list is complete: what is listed goes on there, and the other runs are over. Until then the runs stay taken.
 */
final class SuccessionHandler {
    /** The delay before an unanswered question is asked again. */
    private static final long RETRY_DELAY_MS = 150;

    private final WorkerLink link;
    private final DriverTerm term;
    private final OutcomeProposer outcomeProposer;
    private final OrderSender orderSender;
    private final UnknownRuns unknownRuns;
    private final Executor replicaThread;
    private final LeaderTimings timings;
    private final Clock clock;
    private final Predicate<WorkerSession> isCurrent;

    /**
     * Creates the handler.
     *
     * @param dependencies the dependencies of the driver
     * @param term the term of the orders
     * @param outcomeProposer proposes ends of runs and removals of workers
     * @param orderSender sends the orders to the former incarnations
     * @param unknownRuns the runs that workers have although the log does not have them there
     * @param isCurrent whether the log still has that incarnation of the worker
     */
    SuccessionHandler(
            WorkerDriver.Dependencies dependencies,
            DriverTerm term,
            OutcomeProposer outcomeProposer,
            OrderSender orderSender,
            UnknownRuns unknownRuns,
            Predicate<WorkerSession> isCurrent) {
        this.link = dependencies.link();
        this.term = term;
        this.outcomeProposer = outcomeProposer;
        this.orderSender = orderSender;
        this.unknownRuns = unknownRuns;
        this.replicaThread = dependencies.replicaThread();
        this.timings = dependencies.timings();
        this.clock = dependencies.clock();
        this.isCurrent = isCurrent;
    }

    /**
     * Begins to settle the runs of an incarnation: from now on it gets no orders. Its runs that no other one can have
     * accepted are lost.
     *
     * @param session the former incarnation
     * @param bornMs the start of the incarnation that answered in its place, in milliseconds since 1970
     */
    void begin(WorkerSession session, long bornMs) {
        if (session.removalProposed || session.isSucceeded()) {
            return;
        }
        long nowMs = clock.nowMs();
        session.crashed = !session.isLeaving();
        session.succession = new Succession(nowMs, outcomeProposer.lossesOf(session));
        session.fencingToken = term.nextFencingToken();
        outcomeProposer.recordLoss(session);
        link.disconnect(session.info());
        Log.event("successorFound")
                .with("worker", session.id())
                .with("formerBornMs", session.info().getBornMs())
                .with("bornMs", bornMs)
                .with("fence", session.fencingToken)
                .with("runs", session.runs.size())
                .with("sentCursor", session.acknowledgement.sentCursor())
                .info();
        proposeLost(session, tracker -> !tracker.mayRunOnSuccessor(), LossBasis.INCARNATION_OVER);
        outcomeProposer.proposeLostWithIncarnation(session, List.copyOf(session.runsLostWithLease.values()));
        tick(session, nowMs);
    }

    /** Begins anew if yet another incarnation has taken the place of the one that has listed its runs. */
    void beginAnewIfOutdated(WorkerSession session, long reportedBornMs, long nowMs) {
        Succession succession = session.succession;
        if (succession.isSettled() && reportedBornMs > succession.bornMs && !session.removalProposed) {
            succession.bornMs = 0;
            session.fencingToken = term.nextFencingToken();
            tick(session, nowMs);
        }
    }

    /** Asks for the runs when that is due, and gives the runs up that no lease can cover any more. */
    void tick(WorkerSession session, long nowMs) {
        Succession succession = session.succession;
        if (session.removalProposed) {
            return;
        }
        if (nowMs >= longestLeaseExpiredAtMs(session)) {
            session.runs.values().forEach(tracker -> tracker.lossBasis = LossBasis.LONGEST_LEASE_EXPIRED);
            outcomeProposer.proposeRemoval(session, WorkerRemovalReason.REBORN);
            return;
        }
        boolean mayAsk = !succession.isSettled() && !succession.inFlight && nowMs >= succession.nextSendMs;
        if (mayAsk && term.mayAct()) {
            ask(session);
        }
    }

    /**
     * When every lease is sure to have expired that an order may have granted to a later incarnation. Such an order may be
     * carried out late, and its lease begins then.
     */
    long longestLeaseExpiredAtMs(WorkerSession session) {
        long sentByMs = Math.max(session.lastLeaseSentMs, term.sinceMs());
        return WorkerClock.expiredAtMs(sentByMs + timings.maxOrderDelayMs(), timings.maxLeaseMs());
    }

    private void ask(WorkerSession session) {
        Succession succession = session.succession;
        long fencingToken = session.fencingToken;
        succession.inFlight = true;
        link.identify(
                session.info(),
                fencingToken,
                outcome -> replicaThread.execute(() -> {
                    succession.inFlight = false;
                    succession.nextSendMs = clock.nowMs() + RETRY_DELAY_MS;
                    boolean isAwaited = session.isLatestFencingToken(fencingToken) && !session.removalProposed;
                    if (isAwaited && !term.isClosed() && isCurrent.test(session)) {
                        handleAnswer(session, fencingToken, outcome);
                    }
                }));
    }

    private void handleAnswer(WorkerSession session, long fencingToken, RenewOutcome outcome) {
        if (outcome instanceof RenewOutcome.Listed listed) {
            settle(session, listed);
        } else if (outcome instanceof RenewOutcome.Refused refused) {
            if (refused.reason() == OrderRefusal.OTHER_LIFE) {
                outcomeProposer.proposeRemoval(session, WorkerRemovalReason.OTHER_LIFE);
            } else if (refused.reason() == OrderRefusal.FENCED) {
                orderSender.markFencedOutIfLatest(session, fencingToken);
            }
        }
    }

    private void settle(WorkerSession session, RenewOutcome.Listed listed) {
        Succession succession = session.succession;
        unknownRuns.record(session, listed.running(), clock.nowMs());
        outcomeProposer.proposeEndsOnSuccessor(session, listed.ended());
        Set<RunKey> listedRuns = listed.running().stream().map(RunView::key).collect(Collectors.toSet());
        listed.ended().stream().map(EndedRunView::key).forEach(listedRuns::add);
        if (listed.endsComplete()) {
            proposeLost(session, tracker -> !listedRuns.contains(tracker.run.key()), LossBasis.NOT_ON_SUCCESSOR);
        }
        reportForgottenEnds(session, listed);
        succession.bornMs = listed.bornMs();
        succession.adopted = runsNotEnding(session);
        Log.event("successorSettled")
                .with("worker", session.id())
                .with("formerBornMs", session.info().getBornMs())
                .with("bornMs", listed.bornMs())
                .with("fence", session.fencingToken)
                .with("running", listed.running().size())
                .with("ended", listed.ended().size())
                .with("adopted", succession.adopted.size())
                .with("tookMs", clock.nowMs() - succession.sinceMs)
                .info();
        if (succession.adopted.isEmpty()) {
            outcomeProposer.proposeRemoval(session, WorkerRemovalReason.REBORN);
        }
    }

    /**
     * Reports ends that this leader has not read although the other incarnation has forgotten them. Whether a run was among
     * them isn't known; it counts as lost, since an accepted job has to end and must not be shown as completed by a guess.
     */
    private static void reportForgottenEnds(WorkerSession session, RenewOutcome.Listed listed) {
        long firstNumber = listed.ended().isEmpty() ? 1 : listed.ended().get(0).number();
        if (firstNumber > 1) {
            Log.event("endsForgottenUnread")
                    .with("worker", session.id())
                    .with("bornMs", listed.bornMs())
                    .with("firstEnd", firstNumber)
                    .warn();
        }
    }

    private static Set<RunKey> runsNotEnding(WorkerSession session) {
        Set<RunKey> runs = new HashSet<>();
        session.runs.values().stream()
                .filter(tracker -> tracker.phase != RunTracker.Phase.ENDING)
                .forEach(tracker -> runs.add(tracker.run.key()));
        return Set.copyOf(runs);
    }

    private void proposeLost(WorkerSession session, Predicate<RunTracker> isOver, LossBasis basis) {
        List<RunTracker> lost = session.runs.values().stream()
                .filter(tracker -> tracker.phase != RunTracker.Phase.ENDING)
                .filter(isOver)
                .toList();
        lost.forEach(tracker -> tracker.lossBasis = basis);
        outcomeProposer.proposeLostWithIncarnation(session, lost);
    }
}
