package org.lovagegrade.graph.leader;

import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.RunEndProto;

/** Sends starts and stops to workers, and handles their outcomes. */
final class OrderSender {
    /** The delay before an unanswered order is sent again. */
    private static final long RETRY_DELAY_MS = 150;
    /** A stopped run that is still listed is stopped again this long after the time that a stop may take. */
    private static final long STOP_RETRY_MS = 1_000;
    /** How long a worker that reports itself unhealthy, or refuses a start that should fit, gets no starts. */
    private static final long START_PAUSE_MS = 1_000;

    private final WorkerDriver.Dependencies dependencies;
    private final DriverTerm term;
    private final OutcomeProposer outcomeProposer;
    private final BegunJobs begunJobs;
    private final UnansweredStarts unansweredStarts;
    private final BiPredicate<WorkerSession, RunTracker> isCurrent;
    private final Consumer<WorkerSession> afterOutcome;

    /**
     * Creates the sender.
     *
     * @param dependencies the dependencies of the driver
     * @param term the term of the orders
     * @param outcomeProposer proposes ends of runs and removals of workers
     * @param begunJobs collects the jobs of confirmed runs
     * @param unansweredStarts collects the runs of unanswered starts
     * @param isCurrent whether the run is still on that incarnation of the worker according to the log
     * @param afterOutcome runs once the outcome of an order was handled, for an acknowledgement that waited for it
     */
    OrderSender(
            WorkerDriver.Dependencies dependencies,
            DriverTerm term,
            OutcomeProposer outcomeProposer,
            BegunJobs begunJobs,
            UnansweredStarts unansweredStarts,
            BiPredicate<WorkerSession, RunTracker> isCurrent,
            Consumer<WorkerSession> afterOutcome) {
        this.dependencies = dependencies;
        this.term = term;
        this.outcomeProposer = outcomeProposer;
        this.begunJobs = begunJobs;
        this.unansweredStarts = unansweredStarts;
        this.isCurrent = isCurrent;
        this.afterOutcome = afterOutcome;
    }

    /** Sends the order that is due for a run, if there is one. */
    void sendIfDue(WorkerSession session, RunTracker tracker, long nowMs) {
        boolean mayAct = session.activated
                && !session.quarantined
                && !session.isSucceeded()
                && !tracker.inFlight
                && nowMs >= tracker.nextSendMs;
        if (!mayAct || !term.mayAct()) {
            return;
        }
        switch (tracker.phase) {
            case STARTING -> {
                if (tracker.stopRequested) {
                    stop(session, tracker);
                } else if (session.isOverCapacity()) {
                    withdrawStart(session, tracker, WithdrawalReason.OVER_CAPACITY);
                } else if (isEvacuated(session)) {
                    withdrawStart(session, tracker, WithdrawalReason.EVACUATED);
                } else if (isReadyForStart(session, tracker) && mayStart()) {
                    start(session, tracker, nowMs);
                }
            }
            case CONFIRMED -> {
                if (tracker.stopRequested) {
                    stop(session, tracker);
                }
            }
            default -> {}
        }
    }

    private boolean isEvacuated(WorkerSession session) {
        return dependencies.safeguards().withdrawEvacuatedStarts()
                && dependencies.isEvacuated().test(session.info());
    }

    /** A leader that was paused may have been deposed, and its successor may have committed an evacuation. */
    private boolean mayStart() {
        return !dependencies.safeguards().requireLeaseToStart()
                || dependencies.holdsLease().getAsBoolean();
    }

    /**
     * Whether the resources and the incarnation of the worker are known, and no acknowledgement is on its way: were both to
     * reach the next incarnation, it would forget the end of what it has begun.
     */
    private static boolean isReadyForStart(WorkerSession session, RunTracker tracker) {
        return session.isFullyAccounted()
                && !session.acknowledgement.isInFlight()
                && isIncarnationConfirmed(session, tracker);
    }

    /**
     * Whether the worker has listed its runs since the last failure. Until then it may be another incarnation under the
     * same id, which would begin a run that the former one has lost, and perhaps crash under it as well.
     */
    private static boolean isIncarnationConfirmed(WorkerSession session, RunTracker tracker) {
        return session.lastListedMs > tracker.lastFailureMs
                && !session.incarnationUnconfirmed
                && !session.otherIncarnationSuspected;
    }

    private void start(WorkerSession session, RunTracker tracker, long nowMs) {
        tracker.inFlight = true;
        tracker.orderSent = true;
        tracker.lastSentMs = nowMs;
        session.startSent(tracker.run.key(), nowMs);
        StartOrder message = new StartOrder(
                tracker.run.key(),
                tracker.run.step().job().graph().getPayload(),
                leaseFor(session, nowMs),
                session.fencingToken,
                tracker.run.checkpoint(),
                tracker.ticket);
        dependencies.link().start(session.info(), message, outcome -> {
            dependencies.replicaThread().execute(() -> recordLeaseSent(session));
            onReplicaThread(session, tracker, () -> startAnswered(session, tracker, message.fencingToken(), outcome));
        });
    }

    /** An order may wait for its connection, so that its lease began at the latest when its outcome arrives. */
    private void recordLeaseSent(WorkerSession session) {
        session.lastLeaseSentMs = dependencies.clock().nowMs();
    }

    /** Returns the lease expiry; an unresponsive worker's lease is not extended, so that its runs can be given up. */
    long leaseFor(WorkerSession session, long nowMs) {
        session.lastLeaseSentMs = nowMs;
        return session.lastOrderUnanswered
                ? session.clock.grantedUntilMs()
                : session.clock.grant(dependencies.timings().leaseMs(), nowMs);
    }

    private void startAnswered(WorkerSession session, RunTracker tracker, long fencingToken, OrderOutcome outcome) {
        long nowMs = dependencies.clock().nowMs();
        if (outcome instanceof OrderOutcome.Done done) {
            recordIncarnation(session, tracker, done.clockMs(), nowMs);
            session.recordAnswer(nowMs);
            tracker.recordExistence(nowMs);
            begunJobs.add(tracker.run);
            tracker.phase = RunTracker.Phase.CONFIRMED;
            tracker.inDoubt = false;
            tracker.listingValidFromMs = nowMs;
            sendIfDue(session, tracker, nowMs);
        } else if (outcome instanceof OrderOutcome.Refused refused) {
            startRefused(session, tracker, refused.reason(), fencingToken, nowMs);
        } else {
            if (outcome instanceof OrderOutcome.Unanswered) {
                tracker.recordUnanswered();
                unansweredStarts.add(tracker.run);
            }
            session.recordUnanswered(nowMs);
            tracker.orderSent = tracker.inDoubt;
            tracker.lastFailureMs = nowMs;
            tracker.nextSendMs = nowMs + RETRY_DELAY_MS;
        }
    }

    /**
     * Records which incarnation has begun a run. Only the clock in its answer tells, as the id is the same: another clock
     * than that of the addressee shows that a later incarnation has accepted the start.
     */
    private void recordIncarnation(WorkerSession session, RunTracker tracker, long clockMs, long nowMs) {
        if (session.clock.isOwnReading(clockMs, tracker.lastSentMs, nowMs)) {
            tracker.begunByAddressee = true;
            session.clock.update(clockMs, nowMs);
        } else if (session.clock.isOtherReading(clockMs, tracker.lastSentMs)) {
            session.otherIncarnationSuspected = true;
            Log.event("startAnsweredByOther")
                    .with("run", tracker.run.key().toString())
                    .with("worker", session.id())
                    .with("bornMs", session.info().getBornMs())
                    .with("clockMs", clockMs)
                    .with("expectedClockMs", session.clock.expectedMs(nowMs))
                    .warn();
        }
    }

    private void startRefused(
            WorkerSession session, RunTracker tracker, OrderRefusal reason, long fencingToken, long nowMs) {
        dependencies.metrics().count(WorkerDriver.ORDER_REFUSALS, reason);
        Log.event("startRefused")
                .with("run", tracker.run.key().toString())
                .with("worker", session.id())
                .with("reason", reason.name())
                .with("inDoubt", tracker.inDoubt)
                .warn();
        switch (reason) {
            case FENCED -> {
                markFencedOutIfLatest(session, fencingToken);
                tracker.nextSendMs = nowMs + RETRY_DELAY_MS;
            }
            case OTHER_LIFE -> outcomeProposer.proposeRemoval(session, WorkerRemovalReason.OTHER_LIFE);
            case OUTDATED -> verify(tracker, nowMs);
            case UNHEALTHY -> {
                session.startsPausedUntilMs = nowMs + START_PAUSE_MS;
                withdrawStart(session, tracker, WithdrawalReason.REFUSED);
            }
            case NO_ROOM, INVALID, TOO_LATE -> {
                session.startsPausedUntilMs = nowMs + START_PAUSE_MS;
                withdrawStart(session, tracker, WithdrawalReason.REFUSED);
            }
            case NO_TICKET -> withdrawStart(session, tracker, WithdrawalReason.REFUSED);
        }
    }

    /** Frees the task of a start that was refused or must not be sent, unless an earlier copy of the order may still arrive. */
    private void withdrawStart(WorkerSession session, RunTracker tracker, WithdrawalReason reason) {
        if (!tracker.withdrawn) {
            tracker.withdrawn = true;
            reportWithdrawal(session, tracker, reason);
        }
        if (tracker.inDoubt) {
            stop(session, tracker);
        } else {
            outcomeProposer.proposeEnd(session, tracker, RunEndProto.RUN_REFUSED);
        }
    }

    private void reportWithdrawal(WorkerSession session, RunTracker tracker, WithdrawalReason reason) {
        dependencies.metrics().count(WorkerDriver.WITHDRAWN_STARTS, reason);
        Log.event("startWithdrawn")
                .with("run", tracker.run.key().toString())
                .with("worker", session.id())
                .with("reason", reason.name())
                .with("inDoubt", tracker.inDoubt)
                .info();
    }

    private static void verify(RunTracker tracker, long nowMs) {
        tracker.phase = RunTracker.Phase.VERIFYING;
        tracker.listingValidFromMs = nowMs;
    }

    /** An order that a later token of this leader has overtaken says nothing about other leaders. */
    void markFencedOutIfLatest(WorkerSession session, long fencingToken) {
        if (session.isLatestFencingToken(fencingToken)) {
            term.markFencedOut();
        }
    }

    private void stop(WorkerSession session, RunTracker tracker) {
        tracker.inFlight = true;
        long fencingToken = session.fencingToken;
        dependencies
                .link()
                .stop(
                        session.info(),
                        tracker.run.key(),
                        fencingToken,
                        outcome -> onReplicaThread(
                                session, tracker, () -> stopAnswered(session, tracker, fencingToken, outcome)));
    }

    private void stopAnswered(WorkerSession session, RunTracker tracker, long fencingToken, OrderOutcome outcome) {
        long nowMs = dependencies.clock().nowMs();
        if (outcome instanceof OrderOutcome.Done) {
            session.recordAnswer(nowMs);
            tracker.phase = RunTracker.Phase.STOPPING;
            tracker.listingValidFromMs = nowMs;
            tracker.nextSendMs = nowMs + dependencies.timings().stopMs() + STOP_RETRY_MS;
        } else if (outcome instanceof OrderOutcome.Refused refused) {
            dependencies.metrics().count(WorkerDriver.ORDER_REFUSALS, refused.reason());
            if (refused.reason() == OrderRefusal.FENCED) {
                markFencedOutIfLatest(session, fencingToken);
            }
            if (refused.reason() == OrderRefusal.OTHER_LIFE) {
                outcomeProposer.proposeRemoval(session, WorkerRemovalReason.OTHER_LIFE);
            } else {
                tracker.nextSendMs = nowMs + RETRY_DELAY_MS;
            }
        } else {
            session.recordUnanswered(nowMs);
            tracker.nextSendMs = nowMs + RETRY_DELAY_MS;
        }
    }

    private void onReplicaThread(WorkerSession session, RunTracker tracker, Runnable task) {
        dependencies.replicaThread().execute(() -> {
            tracker.inFlight = false;
            session.startSettled(tracker.run.key());
            if (!term.isClosed() && isCurrent.test(session, tracker)) {
                task.run();
                afterOutcome.accept(session);
            }
        });
    }
}
