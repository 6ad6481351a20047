package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;

/**
 * Drives the workers while this replica leads: sends committed starts and stops, renews leases, and proposes the ends
 * that workers list to the log. All methods run on the replica's thread.
 *
 * <p>A start without an answer is in doubt: it may still begin the run at any later time. It is sent again until the
 * worker answers, and a run that is given up meanwhile is stopped on that worker before the worker is used again. A new
 * leader first raises the fencing token at each worker, after which no older order can begin a run.
 */
final class WorkerDriver {
    static final String ORDER_REFUSALS = "lovagegrade_order_refusals";
    /** How long a worker may hold a listing back while no run ends; each listing costs one message. */
    private static final long LISTING_WAIT_MS = 1_500;
    /** The delay before an unanswered or refused renewal is sent again. */
    private static final long RETRY_MS = 150;
    /** A worker whose ends are being committed is polled again after this time at the latest, to renew its lease. */
    private static final long COMMIT_WAIT_MS = 1_000;
    /** Spans at least two listings, so that one late listing does not count as a stall. */
    private static final long LEAST_STALL_MS = 2_800;
    /** Divides the estimated run time to get the stall threshold; estimates are often far too low or too high. */
    private static final long STALL_SHARE_OF_ESTIMATE = 5;
    /** A worker whose lease has expired is removed after this time without an answer or a heartbeat. */
    private static final long FORGET_MS = 15_000;

    private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
    private final Map<String, Set<RunKey>> doubtsOfFormerLives = new HashMap<>();
    private final WorkerLink link;
    private final Executor replicaThread;
    private final LeaderTimings timings;
    private final Clock clock;
    private final Metrics metrics;
    private final DriverRules rules;
    private final DriverTerm term;
    private final WorkerReports reports;
    private final OrderSender orders;
    private final ListingReader listings;

    WorkerDriver(Parts parts, long term, long nowMs) {
        this.link = parts.link();
        this.replicaThread = parts.replicaThread();
        this.timings = parts.timings();
        this.clock = parts.clock();
        this.metrics = parts.metrics().declare(ORDER_REFUSALS, OrderRefusal.class);
        this.rules = parts.rules();
        this.term = new DriverTerm(term, nowMs);
        this.reports = new WorkerReports(parts.proposals());
        this.orders = new OrderSender(
                parts,
                this.term,
                reports,
                (session, order) ->
                        sessions.get(session.id()) == session && session.orders.get(order.run.key()) == order);
        this.listings = new ListingReader(link, this.term, reports, orders);
    }

    /**
     * The dependencies of a driver.
     *
     * @param link carries orders to workers
     * @param replicaThread runs tasks on the replica's thread
     * @param proposals proposes commands to the log
     * @param timings the deployment's timings
     * @param clock a monotonic clock
     * @param metrics counts refusals
     * @param rules the safeguards in force for runs in doubt
     */
    record Parts(
            WorkerLink link,
            Executor replicaThread,
            Proposals proposals,
            LeaderTimings timings,
            Clock clock,
            Metrics metrics,
            DriverRules rules) {}

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

    /**
     * Finds runs that make no progress although their worker answers.
     *
     * @return the runs, without those that are being stopped already
     */
    List<RunRecord> stalled() {
        List<RunRecord> stalled = new ArrayList<>();
        for (WorkerSession session : sessions.values()) {
            for (RunOrder order : session.orders.values()) {
                boolean mayStall = order.phase == RunOrder.Phase.CONFIRMED
                        && !order.stopWanted
                        && !session.unanswered
                        && !order.run.step().spec().getLasting();
                if (mayStall && order.listedStillMs >= stallMs(order.run)) {
                    stalled.add(order.run);
                }
            }
        }
        return stalled;
    }

    /** A run that makes any progress advances by one percent within this time, even on a slow worker. */
    private static long stallMs(RunRecord run) {
        return Math.max(LEAST_STALL_MS, run.step().spec().getEstimateMs() / STALL_SHARE_OF_ESTIMATE);
    }

    // --- committed changes

    void workerChanged(WorkerRecord record, long nowMs) {
        WorkerSession present = sessions.get(record.info().getId());
        if (present != null && present.record == record) {
            return;
        }
        WorkerSession session = new WorkerSession(record, nowMs);
        Set<RunKey> doubts = doubtsOfFormerLives.remove(record.info().getId());
        if (doubts != null) {
            session.tombstones.addAll(doubts);
        }
        for (RunRecord run : record.runs().values()) {
            RunOrder order = new RunOrder(run, "", RunOrder.Phase.VERIFYING, nowMs);
            order.stopWanted = run.isObsolete();
            session.orders.put(run.key(), order);
        }
        sessions.put(session.id(), session);
    }

    void workerGone(WorkerRecord record) {
        WorkerSession session = sessions.get(record.info().getId());
        if (session == null || session.record != record) {
            return;
        }
        Set<RunKey> doubts = new HashSet<>(session.tombstones);
        session.orders.values().stream()
                .filter(order -> order.inDoubt || order.inFlight)
                .forEach(order -> doubts.add(order.run.key()));
        long nowMs = clock.nowMs();
        session.doubtedUntilMs.forEach((run, untilMs) -> {
            if (untilMs > nowMs) {
                doubts.add(run);
            }
        });
        if (!doubts.isEmpty() && rules.buryDoubts()) {
            doubtsOfFormerLives.put(session.id(), doubts);
        }
        sessions.remove(session.id());
        link.disconnect(session.info());
    }

    void started(RunRecord run, String ticket, long nowMs) {
        WorkerSession session = sessions.get(run.worker());
        if (session == null) {
            return;
        }
        RunOrder order = new RunOrder(run, ticket, RunOrder.Phase.STARTING, nowMs);
        session.orders.put(run.key(), order);
        orders.advance(session, order, nowMs);
    }

    void ended(RunRecord run) {
        WorkerSession session = sessions.get(run.worker());
        if (session == null) {
            return;
        }
        session.orders.remove(run.key());
    }

    void unwanted(RunRecord run, long nowMs) {
        WorkerSession session = sessions.get(run.worker());
        RunOrder order = session == null ? null : session.orders.get(run.key());
        if (order != null) {
            order.stopWanted = true;
            orders.advance(session, order, nowMs);
        }
    }

    // --- timer

    void tick(long nowMs) {
        for (WorkerSession session : List.copyOf(sessions.values())) {
            renewIfDue(session, nowMs);
            if (session.introduced && !session.lapsed) {
                for (RunOrder order : List.copyOf(session.orders.values())) {
                    orders.advance(session, order, nowMs);
                }
            }
            giveUpIfLapsed(session, nowMs);
        }
    }

    // --- renewals and listings

    private void renewIfDue(WorkerSession session, long nowMs) {
        if (session.renewing || session.goneProposed || !term.mayAct() || nowMs < session.nextRenewMs) {
            return;
        }
        boolean isCommitAwaited = session.proposedCursor > session.record.cursor();
        if (isCommitAwaited && nowMs - session.heardAtMs < COMMIT_WAIT_MS) {
            return;
        }
        if (session.lapsed && !session.tombstones.isEmpty() && session.clock.isKnown()) {
            buryNext(session);
            return;
        }
        session.renewing = true;
        boolean mayGrant = session.introduced && !session.lapsed;
        long untilMs = mayGrant ? orders.leaseFor(session, nowMs) : 0;
        RenewOrder order =
                new RenewOrder(term.number(), untilMs, session.record.cursor(), mayGrant ? LISTING_WAIT_MS : 0);
        link.renew(
                session.info(),
                order,
                outcome -> replicaThread.execute(() -> {
                    session.renewing = false;
                    if (!term.isClosed() && sessions.get(session.id()) == session) {
                        renewed(session, nowMs, outcome);
                    }
                }));
    }

    /** Stops a run whose start may still arrive at a worker that was given up, before the worker gets a lease. */
    private void buryNext(WorkerSession session) {
        RunKey run = session.tombstones.iterator().next();
        session.renewing = true;
        link.stop(
                session.info(),
                run,
                term.number(),
                outcome -> replicaThread.execute(() -> {
                    session.renewing = false;
                    if (outcome instanceof OrderOutcome.Done) {
                        session.tombstones.remove(run);
                    } else {
                        session.nextRenewMs = clock.nowMs() + RETRY_MS;
                    }
                    if (outcome instanceof OrderOutcome.Refused refused
                            && refused.reason() == OrderRefusal.OTHER_LIFE) {
                        reports.gone(session, "otherLife");
                    }
                }));
    }

    private void renewed(WorkerSession session, long askedAtMs, RenewOutcome outcome) {
        long nowMs = clock.nowMs();
        if (outcome instanceof RenewOutcome.Listed listed) {
            listed(session, askedAtMs, listed, nowMs);
        } else if (outcome instanceof RenewOutcome.Refused refused) {
            metrics.count(ORDER_REFUSALS, refused.reason());
            session.nextRenewMs = nowMs + RETRY_MS;
            if (refused.reason() == OrderRefusal.FENCED) {
                term.fencedOut();
                Log.event("fencedOut")
                        .with("worker", session.id())
                        .with("term", term.number())
                        .warn();
            } else if (refused.reason() == OrderRefusal.OTHER_LIFE) {
                reports.gone(session, "otherLife");
            }
        } else if (outcome instanceof RenewOutcome.Unanswered unanswered) {
            session.unanswered = true;
            session.nextRenewMs = nowMs + RETRY_MS;
            if (unanswered.refusedConnection() && session.leaving) {
                reports.gone(session, "left");
            }
        }
    }

    private void listed(WorkerSession session, long askedAtMs, RenewOutcome.Listed listed, long nowMs) {
        if (listed.bornMs() != 0
                && session.info().getBornMs() != 0
                && listed.bornMs() != session.info().getBornMs()) {
            reports.gone(session, "reborn");
            return;
        }
        session.clock.heard(listed.clockMs(), nowMs);
        session.answered(nowMs);
        listings.read(session, listed, askedAtMs, nowMs);
        if (session.lapsed && session.tombstones.isEmpty()) {
            session.lapsed = false;
            Log.event("workerRegained").with("worker", session.id()).info();
        }
        if (!session.introduced && !session.lapsed) {
            introduce(session, nowMs);
        }
        session.nextRenewMs = nowMs;
        renewIfDue(session, nowMs);
    }

    private void introduce(WorkerSession session, long nowMs) {
        if (!session.tombstones.isEmpty()) {
            session.lapsed = true;
            return;
        }
        session.introduced = true;
        Log.event("workerIntroduced")
                .with("worker", session.id())
                .with("fence", term.number())
                .with("runs", session.orders.size())
                .info();
        session.orders.values().forEach(order -> orders.advance(session, order, nowMs));
    }

    // --- lost workers

    private void giveUpIfLapsed(WorkerSession session, long nowMs) {
        long lapsedAtMs = Math.max(
                session.clock.isKnown() ? session.clock.lapsedAtMs() : 0,
                WorkerClock.lapsedAtMs(timings.leaseMs(), term.sinceMs()));
        boolean holdsNothing = !session.introduced && session.orders.isEmpty();
        boolean mayHoldALease = rules.waitForLapse() ? nowMs < lapsedAtMs : nowMs - session.heardAtMs < RETRY_MS * 2;
        if (mayHoldALease) {
            return;
        }
        if (holdsNothing) {
            forgetIfSilent(session, nowMs);
            return;
        }
        if (!session.lapsed) {
            session.lapsed = true;
            Log.event("workerLapsed")
                    .with("worker", session.id())
                    .with("runs", session.orders.size())
                    .with("heardAgoMs", nowMs - session.heardAtMs)
                    .warn();
        }
        List<RunOrder> lost = new ArrayList<>();
        for (RunOrder order : session.orders.values()) {
            if (order.phase != RunOrder.Phase.ENDING) {
                lost.add(order);
                boolean mayStillArrive = order.inDoubt || order.inFlight;
                if (mayStillArrive && rules.buryDoubts()) {
                    session.tombstones.add(order.run.key());
                }
            }
        }
        reports.lost(session, lost);
        forgetIfSilent(session, nowMs);
    }

    private void forgetIfSilent(WorkerSession session, long nowMs) {
        boolean isSilent = nowMs - Math.max(session.heardAtMs, session.beatAtMs) > FORGET_MS;
        boolean isProposed = session.goneProposed;
        if ((session.leaving || isSilent) && !isProposed) {
            reports.gone(session, session.leaving ? "left" : "silent");
        }
    }
}
