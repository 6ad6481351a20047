package org.lovagegrade.graph.leader;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;

/**
 * Renews the leases of workers, acknowledges the ends that they have listed, and handles their lists. One renewal to a worker
 * is under way at a time; without news it waits there for the next end.
 */
final class RenewalHandler {
    /** How long a worker may hold a listing back while no run ends; each listing costs one message. */
    private static final long LISTING_WAIT_MS = 1_500;
    /** A renewal that fails sooner, although the worker need not wait, has lost its connection. */
    private static final long MIN_RENEWAL_TIMEOUT_MS = 500;
    /** The delay before an unanswered or refused renewal is sent again. */
    private static final long RETRY_DELAY_MS = 150;
    /** A worker whose ends are being committed is polled again after this time at the latest, to renew its lease. */
    private static final long MAX_COMMIT_WAIT_MS = 1_000;
    /** The time of the last report where a new one has to be awaited, since the worker may have been cut off since. */
    private static final long NO_REPORT_MS = 0;

    private final WorkerLink link;
    private final Executor replicaThread;
    private final Clock clock;
    private final Metrics metrics;
    private final BooleanSupplier holdsLease;
    private final DriverTerm term;
    private final OutcomeProposer outcomeProposer;
    private final OrderSender orderSender;
    private final ListingReconciler listingReconciler;
    private final SuccessionHandler successionHandler;
    private final Predicate<WorkerSession> isCurrent;

    /**
     * Creates the handler.
     *
     * @param dependencies the dependencies of the driver
     * @param term the term of the orders
     * @param outcomeProposer proposes removals of workers
     * @param orderSender sends the orders that waited for an answer
     * @param listingReconciler reconciles lists with the log
     * @param successionHandler settles the runs of a worker in whose place another incarnation answers
     * @param isCurrent whether the log still has that incarnation of the worker
     */
    RenewalHandler(
            WorkerDriver.Dependencies dependencies,
            DriverTerm term,
            OutcomeProposer outcomeProposer,
            OrderSender orderSender,
            ListingReconciler listingReconciler,
            SuccessionHandler successionHandler,
            Predicate<WorkerSession> isCurrent) {
        this.link = dependencies.link();
        this.replicaThread = dependencies.replicaThread();
        this.clock = dependencies.clock();
        this.metrics = dependencies.metrics();
        this.holdsLease = dependencies.holdsLease();
        this.term = term;
        this.outcomeProposer = outcomeProposer;
        this.orderSender = orderSender;
        this.listingReconciler = listingReconciler;
        this.successionHandler = successionHandler;
        this.isCurrent = isCurrent;
    }

    /** Sends a renewal if one is due and none awaits its answer. */
    void renewIfDue(WorkerSession session, long nowMs) {
        boolean mayRenew = !session.renewalInFlight && !session.removalProposed && !session.isSucceeded();
        if (!mayRenew || !term.mayAct() || nowMs < session.nextRenewalMs) {
            return;
        }
        boolean isCommitAwaited = session.proposedCursor > session.record.cursor();
        if (isCommitAwaited && nowMs - session.lastAnswerMs < MAX_COMMIT_WAIT_MS) {
            return;
        }
        boolean mayGrant = session.activated && !session.quarantined && !session.incarnationUnconfirmed;
        boolean isAcknowledgementDue = session.acknowledgement.dueCursor(session.record.cursor()) > 0;
        if (mayGrant && isAcknowledgementDue && session.isStartAnswerNear(nowMs)) {
            return;
        }
        session.renewalInFlight = true;
        long untilMs = mayGrant ? orderSender.leaseFor(session, nowMs) : 0;
        long cursor = mayGrant ? cursorFor(session, nowMs) : 0;
        long waitMs = mayGrant && !isAcknowledgementDue ? LISTING_WAIT_MS : 0;
        if (cursor > 0) {
            session.acknowledgement.sent(cursor);
        }
        RenewOrder order = new RenewOrder(session.fencingToken, untilMs, cursor, waitMs);
        link.renew(
                session.info(),
                order,
                outcome -> replicaThread.execute(() -> {
                    session.renewalInFlight = false;
                    session.acknowledgement.settled();
                    if (!term.isClosed() && !session.isSucceeded() && isCurrent.test(session)) {
                        handleRenewalOutcome(session, order, nowMs, outcome);
                    }
                }));
    }

    /**
     * The cursor that a worker may get now: 0 if it would harm the next incarnation, should it be the one that gets it. After a
     * pause a leader may find a list that is older than it seems; by then its lease has expired.
     */
    private long cursorFor(WorkerSession session, long nowMs) {
        boolean mayAcknowledge =
                session.isListedJustNow(nowMs) && !session.mayStartBeginLate() && holdsLease.getAsBoolean();
        return mayAcknowledge ? session.acknowledgement.dueCursor(session.record.cursor()) : 0;
    }

    private void handleRenewalOutcome(
            WorkerSession session, RenewOrder order, long requestedAtMs, RenewOutcome outcome) {
        long nowMs = clock.nowMs();
        if (outcome instanceof RenewOutcome.Listed listed) {
            handleListing(session, order, requestedAtMs, listed, nowMs);
        } else if (outcome instanceof RenewOutcome.Refused refused) {
            metrics.count(WorkerDriver.ORDER_REFUSALS, refused.reason());
            session.nextRenewalMs = nowMs + RETRY_DELAY_MS;
            if (refused.reason() == OrderRefusal.FENCED && session.isLatestFencingToken(order.fencingToken())) {
                term.markFencedOut();
                Log.event("fencedOut")
                        .with("worker", session.id())
                        .with("term", term.number())
                        .with("fence", order.fencingToken())
                        .warn();
            } else if (refused.reason() == OrderRefusal.OTHER_LIFE) {
                outcomeProposer.proposeRemoval(session, WorkerRemovalReason.OTHER_LIFE);
            }
        } else if (outcome instanceof RenewOutcome.Unanswered unanswered) {
            session.incarnationUnconfirmed = true;
            if (order.cursor() > 0) {
                outrankAcknowledgement(session);
            }
            if (!session.activated) {
                session.reports.setLastReportMs(NO_REPORT_MS);
            }
            boolean failedBeforeTimeout = nowMs - requestedAtMs < Math.max(order.waitMs(), MIN_RENEWAL_TIMEOUT_MS);
            if (failedBeforeTimeout) {
                session.recordBrokenConnection(nowMs);
            } else {
                session.recordUnanswered(nowMs);
            }
            session.nextRenewalMs = nowMs + RETRY_DELAY_MS;
            if (unanswered.refusedConnection() && session.reports.isEndAnnounced()) {
                outcomeProposer.proposeRemoval(session, WorkerRemovalReason.LEFT);
            }
        }
    }

    /** Lets no worker forget the end of a run that it begins from now on, should it get the acknowledgement later. */
    private void outrankAcknowledgement(WorkerSession session) {
        session.fencingToken = term.nextFencingToken();
    }

    private void handleListing(
            WorkerSession session, RenewOrder order, long requestedAtMs, RenewOutcome.Listed listed, long nowMs) {
        if (session.isOtherIncarnation(listed.bornMs())) {
            successionHandler.begin(session, listed.bornMs());
            return;
        }
        session.incarnationUnconfirmed = false;
        session.otherIncarnationSuspected = false;
        session.clock.update(listed.clockMs(), nowMs);
        session.recordAnswer(nowMs);
        session.lastListedMs = nowMs;
        session.acknowledgement.listed(order.cursor(), listed.ended());
        listingReconciler.reconcile(session, listed, requestedAtMs, nowMs);
        boolean isBarrier = session.isLatestFencingToken(order.fencingToken());
        if (session.quarantined && isBarrier) {
            session.quarantined = false;
            session.runsLostWithLease.clear();
            Log.event("workerRegained").with("worker", session.id()).info();
        }
        if (!session.activated && !session.quarantined) {
            activate(session, nowMs);
        }
        if (order.cursor() > 0) {
            session.runs.values().forEach(tracker -> orderSender.sendIfDue(session, tracker, nowMs));
        }
        session.nextRenewalMs = isAcknowledgementHeldBack(session, nowMs) ? nowMs + RETRY_DELAY_MS : nowMs;
        renewIfDue(session, nowMs);
    }

    /** Whether the worker would list the same ends at once again, as they can't be acknowledged yet. */
    private static boolean isAcknowledgementHeldBack(WorkerSession session, long nowMs) {
        return session.acknowledgement.dueCursor(session.record.cursor()) > 0
                && session.mayStartBeginLate()
                && !session.isStartAnswerNear(nowMs);
    }

    private void activate(WorkerSession session, long nowMs) {
        session.activated = true;
        Log.event("workerIntroduced")
                .with("worker", session.id())
                .with("fence", session.fencingToken)
                .with("bornMs", session.info().getBornMs())
                .with("domain", session.info().getFailureDomain())
                .with("runs", session.runs.size())
                .info();
        session.runs.values().forEach(tracker -> orderSender.sendIfDue(session, tracker, nowMs));
    }
}
