package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * Drives the workers while this replica leads: sends committed starts and stops, renews leases, and proposes the ends
 * that workers list to the log. All methods run on the replica's thread.
 *
 * <p>An order without an answer is in doubt: a start may still begin its run at any later time. The order is sent again
 * until the worker answers. Before a worker is used that this leader has not used yet, or on which runs were given up, it
 * gets a higher fencing token, after which no older order can begin a run. The same goes for an incarnation that answers
 * in place of a former one, see {@link SuccessionHandler}.
 */
final class WorkerDriver {
    static final String ORDER_REFUSALS = "lovagegrade_order_refusals";
    static final String WITHDRAWN_STARTS = "lovagegrade_withdrawn_starts";
    private static final String LOST_RUNS = "lovagegrade_lost_runs";
    /** The delay before an unanswered question is asked again. */
    private static final long RETRY_DELAY_MS = 150;
    /** Spans at least two listings, so that one late listing does not count as a stall. */
    private static final long MIN_STALL_MS = 2_800;
    /** Divides the estimated run time to get the stall threshold; estimates are often far too low or too high. */
    private static final long STALL_ESTIMATE_DIVISOR = 5;
    /** The log shows within this time of a start whether it went unanswered, even if a leader's clock was set meanwhile. */
    private static final long START_OUTCOME_MS = 3_000;
    /** A worker whose lease has expired is removed after this time without an answer or a heartbeat. */
    private static final long REMOVAL_TIMEOUT_MS = 15_000;

    private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
    private final WorkerLink link;
    private final Executor replicaThread;
    private final LeaderTimings timings;
    private final Clock clock;
    private final Metrics metrics;
    private final DriverSafeguards safeguards;
    private final Predicate<WorkerProto> isEvacuated;
    private final DriverTerm term;
    private final RunAccounting accounting;
    private final OutcomeProposer outcomeProposer;
    private final BegunJobs begunJobs;
    private final UnansweredStarts unansweredStarts;
    private final UnknownRuns unknownRuns;
    private final OrderSender orderSender;
    private final RenewalHandler renewalHandler;
    private final SuccessionHandler successionHandler;

    WorkerDriver(Dependencies dependencies, long term, long nowMs) {
        this.link = dependencies.link();
        this.replicaThread = dependencies.replicaThread();
        this.timings = dependencies.timings();
        this.clock = dependencies.clock();
        this.metrics = dependencies
                .metrics()
                .declare(ORDER_REFUSALS, OrderRefusal.class)
                .declare(WITHDRAWN_STARTS, WithdrawalReason.class)
                .declare(LOST_RUNS, LossCause.class);
        this.safeguards = dependencies.safeguards();
        this.isEvacuated = dependencies.isEvacuated();
        this.term = new DriverTerm(term, nowMs);
        this.accounting = new RunAccounting(clock, metrics);
        this.outcomeProposer =
                new OutcomeProposer(dependencies.proposer(), new CrashAttribution(sessions::values, clock), accounting);
        this.begunJobs = new BegunJobs(dependencies.proposer());
        this.unansweredStarts = new UnansweredStarts(dependencies.proposer());
        this.unknownRuns = new UnknownRuns(timings);
        this.orderSender = new OrderSender(
                dependencies,
                this.term,
                outcomeProposer,
                begunJobs,
                unansweredStarts,
                (session, tracker) -> isCurrent(session) && session.runs.get(tracker.run.key()) == tracker,
                this::renewIfDue);
        ListingReconciler listingReconciler =
                new ListingReconciler(dependencies, outcomeProposer, orderSender, begunJobs, unknownRuns);
        this.successionHandler = new SuccessionHandler(
                dependencies, this.term, outcomeProposer, orderSender, unknownRuns, this::isCurrent);
        this.renewalHandler = new RenewalHandler(
                dependencies,
                this.term,
                outcomeProposer,
                orderSender,
                listingReconciler,
                successionHandler,
                this::isCurrent);
    }

    /**
     * The dependencies of a driver.
     *
     * @param link carries orders to workers
     * @param replicaThread runs tasks on the replica's thread
     * @param proposer proposes commands to the log
     * @param timings the deployment's timings
     * @param clock a monotonic clock
     * @param metrics counts refusals
     * @param isEvacuated whether nothing may be started on a worker, since its failure domain is evacuated
     * @param holdsLease whether this replica still leads, so that it knows all committed evacuations
     * @param safeguards the safeguards in force for runs in doubt
     */
    record Dependencies(
            WorkerLink link,
            Executor replicaThread,
            CommandProposer proposer,
            LeaderTimings timings,
            Clock clock,
            Metrics metrics,
            Predicate<WorkerProto> isEvacuated,
            BooleanSupplier holdsLease,
            DriverSafeguards safeguards) {}

    private boolean isCurrent(WorkerSession session) {
        return sessions.get(session.id()) == session;
    }

    /** The first of the numbers that this leader assigns; higher than all numbers of earlier leaders. */
    long firstIdOfTerm() {
        return term.number() << Integer.SIZE;
    }

    void close() {
        term.close();
        sessions.values().forEach(session -> link.disconnect(session.info()));
    }

    Collection<WorkerSession> sessions() {
        return sessions.values();
    }

    Optional<WorkerSession> session(String worker) {
        return Optional.ofNullable(sessions.get(worker));
    }

    /** Finds the orders for a run whose end is not committed. */
    Optional<RunTracker> tracker(RunRecord run) {
        return session(run.worker()).map(session -> session.runs.get(run.key()));
    }

    /** The runs that workers have although the log does not have them there. */
    UnknownRuns unknownRuns() {
        return unknownRuns;
    }

    LeaderTimings timings() {
        return timings;
    }

    /** Whether the last report of a worker is so recent that its capacity may be relied on. */
    boolean isReportRecent(WorkerSession session, long nowMs) {
        return nowMs - session.reports.lastReportMs() <= timings.maxReportAgeMs();
    }

    /** Whether runs may be started on a worker, which also takes a recent report of its capacity. */
    boolean isUsable(WorkerSession session, long nowMs) {
        return isReportRecent(session, nowMs) && session.isUsable(nowMs) && !isEvacuated.test(session.info());
    }

    /**
     * Finds runs that make no progress although their worker answers.
     *
     * @return the runs, without those that are being stopped already
     */
    List<RunRecord> stalledRuns() {
        List<RunRecord> stalled = new ArrayList<>();
        for (WorkerSession session : sessions.values()) {
            for (RunTracker tracker : session.runs.values()) {
                boolean mayStall = tracker.phase == RunTracker.Phase.CONFIRMED
                        && !tracker.stopRequested
                        && !session.lastOrderUnanswered
                        && !tracker.run.step().spec().getLasting();
                if (mayStall && tracker.noProgressMs >= stallThresholdMs(tracker.run)) {
                    stalled.add(tracker.run);
                }
            }
        }
        return stalled;
    }

    /** A run that makes any progress advances by one percent within this time, even on a slow worker. */
    private static long stallThresholdMs(RunRecord run) {
        return Math.max(MIN_STALL_MS, run.step().spec().getEstimateMs() / STALL_ESTIMATE_DIVISOR);
    }

    // --- committed changes

    /**
     * Starts to drive a worker of an earlier leader, whose last report may be as old as the time between two of them. That
     * leader may have had no time to note that its last starts went unanswered.
     *
     * @param record the worker
     * @param logTimeMs the time of the latest command, in milliseconds since 1970
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    void takeOver(WorkerRecord record, long logTimeMs, long nowMs) {
        workerChanged(record, nowMs);
        WorkerSession session = sessions.get(record.info().getId());
        session.reports.setLastReportMs(nowMs - timings.heartbeatMs());
        for (RunTracker tracker : session.runs.values()) {
            boolean isOutcomeKnown = logTimeMs - tracker.run.startedAtMs() >= START_OUTCOME_MS;
            if (!isOutcomeKnown) {
                tracker.recordPossibleCopies(nowMs);
                unansweredStarts.add(tracker.run);
            } else if (!tracker.run.isStartUnanswered()) {
                tracker.begunByAddressee = true;
            }
        }
    }

    void workerChanged(WorkerRecord record, long nowMs) {
        WorkerSession current = sessions.get(record.info().getId());
        if (current != null && current.record == record) {
            return;
        }
        WorkerSession session = new WorkerSession(record, term.nextFencingToken(), nowMs);
        for (RunRecord run : record.runs().values()) {
            RunTracker tracker = new RunTracker(run, "", RunTracker.Phase.VERIFYING, nowMs);
            tracker.stopRequested = run.isObsolete() || run.isOfBrokenGang();
            session.runs.put(run.key(), tracker);
        }
        sessions.put(session.id(), session);
    }

    void workerRemoved(WorkerRecord record) {
        WorkerSession session = sessions.get(record.info().getId());
        if (session == null || session.record != record) {
            return;
        }
        sessions.remove(session.id());
        link.disconnect(session.info());
    }

    void runStarted(RunRecord run, String ticket, long nowMs) {
        WorkerSession session = sessions.get(run.worker());
        if (session == null) {
            return;
        }
        RunTracker tracker = new RunTracker(run, ticket, RunTracker.Phase.STARTING, nowMs);
        session.runs.put(run.key(), tracker);
        orderSender.sendIfDue(session, tracker, nowMs);
    }

    void runEnded(RunRecord run, RunEndProto how) {
        WorkerSession session = sessions.get(run.worker());
        if (session == null) {
            return;
        }
        RunTracker tracker = session.runs.get(run.key());
        if (tracker != null && how == RunEndProto.RUN_LOST) {
            reportLoss(session, tracker);
        }
        session.runs.remove(run.key());
    }

    private void reportLoss(WorkerSession session, RunTracker tracker) {
        LossCause cause = lossCause(session);
        metrics.count(LOST_RUNS, cause);
        RunUsage usage = accounting.end(tracker, RunEndProto.RUN_LOST, tracker.checkpoint);
        Log.event("runLost")
                .with("run", tracker.run.key().toString())
                .with("worker", session.id())
                .with("cause", cause.name())
                .with("basis", tracker.lossBasis.name())
                .with("survivedMs", tracker.survivedMs(session.lastAnswerMs))
                .with("heardAgoMs", clock.nowMs() - session.lastAnswerMs)
                .with("mayStartLate", tracker.mayBeginLate())
                .with("runs", session.runs.size())
                .with("coreMs", usage.coreMs())
                .with("savedCoreMs", usage.savedCoreMs())
                .with("waste", usage.waste().name())
                .warn();
    }

    private static LossCause lossCause(WorkerSession session) {
        if (session.crashed) {
            return LossCause.WORKER_CRASHED;
        }
        if (session.isLeaving()) {
            return LossCause.WORKER_LEFT;
        }
        return session.quarantined ? LossCause.LEASE_EXPIRED : LossCause.NOT_LISTED;
    }

    // --- incarnations that others claim to succeed

    /** The incarnations that hold the id or the address of a reported one and are not known to have ended. */
    List<WorkerSession> predecessorsOf(WorkerProto reported) {
        return sessions.values().stream()
                .filter(session -> !session.removalProposed && isPredecessor(session.info(), reported))
                .toList();
    }

    /**
     * Asks the address of an incarnation which one answers there, and proposes the removal of this one if another does,
     * or if none does and the lease has expired. Does nothing while an answer is awaited or was just received.
     */
    void verifyIncarnation(WorkerSession session, long nowMs) {
        boolean mayAsk = !session.verificationInFlight
                && !session.removalProposed
                && !session.isSucceeded()
                && nowMs >= session.nextVerificationMs;
        if (!mayAsk || !term.mayAct()) {
            return;
        }
        session.verificationInFlight = true;
        session.nextVerificationMs = nowMs + RETRY_DELAY_MS;
        long fencingToken = session.fencingToken;
        link.identify(
                session.info(),
                fencingToken,
                outcome -> replicaThread.execute(() -> {
                    session.verificationInFlight = false;
                    if (!term.isClosed() && isCurrent(session)) {
                        handleVerification(session, nowMs, fencingToken, outcome);
                    }
                }));
    }

    private void handleVerification(WorkerSession session, long askedAtMs, long fencingToken, RenewOutcome outcome) {
        if (outcome instanceof RenewOutcome.Listed listed) {
            if (session.isOtherIncarnation(listed.bornMs())) {
                successionHandler.begin(session, listed.bornMs());
            } else {
                session.verifiedAtMs = askedAtMs;
            }
        } else if (outcome instanceof RenewOutcome.Refused refused && refused.reason() == OrderRefusal.OTHER_LIFE) {
            outcomeProposer.proposeRemoval(session, WorkerRemovalReason.OTHER_LIFE);
        } else if (outcome instanceof RenewOutcome.Refused refused && refused.reason() == OrderRefusal.FENCED) {
            orderSender.markFencedOutIfLatest(session, fencingToken);
        } else if (!session.isSucceeded() && clock.nowMs() >= allLeasesExpiredAtMs(session)) {
            outcomeProposer.proposeRemoval(session, WorkerRemovalReason.REPLACED);
        }
    }

    /** Begins the succession anew if a later incarnation reports itself than the one that has listed its runs. */
    void checkSuccession(WorkerSession session, WorkerProto reported, long nowMs) {
        if (session.isSucceeded() && session.id().equals(reported.getId())) {
            successionHandler.beginAnewIfOutdated(session, reported.getBornMs(), nowMs);
        }
    }

    private static boolean isPredecessor(WorkerProto worker, WorkerProto successor) {
        boolean isSameAddress = worker.getAddress().equals(successor.getAddress());
        return worker.getId().equals(successor.getId()) ? worker.getBornMs() != successor.getBornMs() : isSameAddress;
    }

    /** Stops a run without recording a cause, such as one whose job is over or whose task is done. */
    void requestStop(RunRecord run, long nowMs) {
        requestStop(run, WasteCause.NONE, nowMs);
    }

    /** Stops a run for the given reason. */
    void requestStop(RunRecord run, WasteCause cause, long nowMs) {
        WorkerSession session = sessions.get(run.worker());
        RunTracker tracker = session == null ? null : session.runs.get(run.key());
        if (tracker != null) {
            tracker.stopRequested = true;
            tracker.stopCause = tracker.stopCause == WasteCause.NONE ? cause : tracker.stopCause;
            orderSender.sendIfDue(session, tracker, nowMs);
        }
    }

    // --- timer

    void tick(long nowMs) {
        begunJobs.tick(nowMs);
        unansweredStarts.tick();
        unknownRuns.tick(nowMs);
        for (WorkerSession session : List.copyOf(sessions.values())) {
            if (session.isSucceeded()) {
                successionHandler.tick(session, nowMs);
                continue;
            }
            if (session.otherIncarnationSuspected) {
                verifyIncarnation(session, nowMs);
            }
            renewalHandler.renewIfDue(session, nowMs);
            if (session.activated && !session.quarantined) {
                for (RunTracker tracker : List.copyOf(session.runs.values())) {
                    orderSender.sendIfDue(session, tracker, nowMs);
                }
            }
            giveUpIfLeaseExpired(session, nowMs);
        }
    }

    private void renewIfDue(WorkerSession session) {
        renewalHandler.renewIfDue(session, clock.nowMs());
    }

    // --- lost workers

    /** When all leases are sure to have expired that this leader and earlier ones granted to an incarnation. */
    private long leasesExpiredAtMs(WorkerSession session) {
        return Math.max(
                session.clock.isKnown() ? session.clock.leasesExpiredAtMs() : 0,
                WorkerClock.expiredAtMs(term.sinceMs(), timings.leaseMs()));
    }

    /** When also those leases are sure to have expired that a later incarnation may hold. */
    private long allLeasesExpiredAtMs(WorkerSession session) {
        long expiredAtMs = leasesExpiredAtMs(session);
        return session.mayRunOnSuccessor()
                ? Math.max(expiredAtMs, successionHandler.longestLeaseExpiredAtMs(session))
                : expiredAtMs;
    }

    private void giveUpIfLeaseExpired(WorkerSession session, long nowMs) {
        if (session.isSucceeded()) {
            return;
        }
        boolean hasNothingToGiveUp = !session.activated && session.runs.isEmpty();
        boolean mayHoldLease = safeguards.awaitLeaseExpiry()
                ? nowMs < leasesExpiredAtMs(session)
                : nowMs - session.lastAnswerMs < RETRY_DELAY_MS * 2;
        if (mayHoldLease) {
            return;
        }
        if (hasNothingToGiveUp) {
            removeIfUnresponsive(session, nowMs);
            return;
        }
        if (!session.quarantined) {
            session.quarantined = true;
            if (safeguards.raiseFencingToken()) {
                session.fencingToken = term.nextFencingToken();
            }
            Log.event("workerLapsed")
                    .with("worker", session.id())
                    .with("runs", session.runs.size())
                    .with("heardAgoMs", nowMs - session.lastAnswerMs)
                    .warn();
        }
        boolean isLongestLeaseExpired =
                !safeguards.awaitLeaseExpiry() || nowMs >= successionHandler.longestLeaseExpiredAtMs(session);
        List<RunTracker> lost = session.runs.values().stream()
                .filter(tracker -> tracker.phase != RunTracker.Phase.ENDING)
                .filter(tracker -> isLongestLeaseExpired || !tracker.mayRunOnSuccessor())
                .toList();
        lost.forEach(tracker -> tracker.lossBasis =
                tracker.mayRunOnSuccessor() ? LossBasis.LONGEST_LEASE_EXPIRED : LossBasis.LEASE_EXPIRED);
        lost.stream()
                .filter(tracker -> tracker.orderSent)
                .forEach(tracker -> session.runsLostWithLease.put(tracker.run.key(), tracker));
        outcomeProposer.proposeLost(session, lost);
        if (!session.mayRunOnSuccessor()) {
            removeIfUnresponsive(session, nowMs);
        }
    }

    private void removeIfUnresponsive(WorkerSession session, long nowMs) {
        boolean isUnresponsive =
                nowMs - Math.max(session.lastAnswerMs, session.reports.lastReportMs()) > REMOVAL_TIMEOUT_MS;
        boolean isProposed = session.removalProposed;
        if ((session.reports.isEndAnnounced() || isUnresponsive) && !isProposed) {
            outcomeProposer.proposeRemoval(
                    session, session.reports.isEndAnnounced() ? WorkerRemovalReason.LEFT : WorkerRemovalReason.SILENT);
        }
    }
}
