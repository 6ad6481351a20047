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
import org.lovagegrade.graph.worker.EndView;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.RunView;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.WorkerGoneProto;

/**
 * Drives workers while this replica leads: sends committed starts and stops, renews leases, and brings what workers list
 * into the log. All methods run on the replica's thread.
 *
 * <p>An order without an answer is in doubt: the run may begin at any later time. It is sent again until the worker
 * answers, and a run that is given up meanwhile is stopped there before the worker is used again. A new leader raises the
 * fence at each worker first, after which no older order can begin anything.
 */
final class WorkerDriver {
    private static final String ORDER_REFUSALS = "lovagegrade_order_refusals";
    /** The length of one wait for ends at a worker; each wait is one message. */
    private static final long LISTING_WAIT_MS = 1_500;
    /** The pause before an unanswered call is made again. */
    private static final long RETRY_MS = 150;
    /** A worker whose ends are being committed is asked again after this time at the latest, to renew its lease. */
    private static final long COMMIT_WAIT_MS = 1_000;
    /** The pause before a stopped run that is still listed is stopped again, beyond the time that a stop may take. */
    private static final long STOP_AGAIN_MS = 1_000;
    /** How long a worker that reports to be unwell, or refuses what should fit, gets no starts. */
    private static final long UNWELL_MS = 1_000;
    /** Two listings apart at least, so that one late listing is no stall. */
    private static final long LEAST_STALL_MS = 2_800;
    /** Estimates are often far too low or too high. */
    private static final long STALL_SHARE_OF_ESTIMATE = 5;
    /** An order without an answer may arrive this much later. */
    private static final long LATE_ORDER_MS = 15_000;
    /** A worker that is silent for this long after its lease has passed is forgotten. */
    private static final long FORGET_MS = 15_000;

    private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
    private final Map<String, Set<RunKey>> doubtsOfFormerLives = new HashMap<>();
    private final WorkerLink link;
    private final Executor replicaThread;
    private final Proposals proposals;
    private final LeaderTimings timings;
    private final Clock clock;
    private final Metrics metrics;
    private final DriverRules rules;
    private final long term;
    private final long leadsSinceMs;
    private boolean closed;
    private boolean fencedOut;

    WorkerDriver(Parts parts, long term, long nowMs) {
        this.link = parts.link();
        this.replicaThread = parts.replicaThread();
        this.proposals = parts.proposals();
        this.timings = parts.timings();
        this.clock = parts.clock();
        this.metrics = parts.metrics().declare(ORDER_REFUSALS, OrderRefusal.class);
        this.rules = parts.rules();
        this.term = term;
        this.leadsSinceMs = nowMs;
    }

    /**
     * What a driver works with.
     *
     * @param link carries orders to workers
     * @param replicaThread runs tasks on the replica's thread
     * @param proposals takes commands for the log
     * @param timings the deployment's times
     * @param clock a monotonic clock
     * @param metrics counts refusals
     * @param rules how runs in doubt are settled
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
        closed = true;
        sessions.values().forEach(session -> link.forget(session.info()));
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
     * @return the runs, none that are being stopped already
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

    /** A run that moves at all moves by one percent in this time, even on a slow worker. */
    private static long stallMs(RunRecord run) {
        return Math.max(LEAST_STALL_MS, run.step().spec().getEstimateMs() / STALL_SHARE_OF_ESTIMATE);
    }

    // --- what the log says

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
            order.stopWanted = run.isUnwanted();
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
        link.forget(session.info());
    }

    void started(RunRecord run, String ticket, long nowMs) {
        WorkerSession session = sessions.get(run.worker());
        if (session == null) {
            return;
        }
        RunOrder order = new RunOrder(run, ticket, RunOrder.Phase.STARTING, nowMs);
        session.orders.put(run.key(), order);
        advance(session, order, nowMs);
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
            advance(session, order, nowMs);
        }
    }

    // --- time

    void tick(long nowMs) {
        for (WorkerSession session : List.copyOf(sessions.values())) {
            renewIfDue(session, nowMs);
            if (session.introduced && !session.lapsed) {
                for (RunOrder order : List.copyOf(session.orders.values())) {
                    advance(session, order, nowMs);
                }
            }
            giveUpIfLapsed(session, nowMs);
        }
    }

    private void advance(WorkerSession session, RunOrder order, long nowMs) {
        boolean mayAct = session.introduced && !session.lapsed && !order.inFlight && nowMs >= order.nextTryMs;
        if (!mayAct || closed || fencedOut) {
            return;
        }
        switch (order.phase) {
            case STARTING -> {
                if (order.stopWanted) {
                    stop(session, order);
                } else {
                    start(session, order, nowMs);
                }
            }
            case CONFIRMED -> {
                if (order.stopWanted) {
                    stop(session, order);
                }
            }
            default -> {}
        }
    }

    private void start(WorkerSession session, RunOrder order, long nowMs) {
        order.inFlight = true;
        session.startSent(order.run.key(), nowMs);
        StartOrder message = new StartOrder(
                order.run.key(),
                order.run.step().job().graph().getPayload(),
                leaseFor(session, nowMs),
                term,
                order.run.checkpoint(),
                order.ticket);
        link.start(
                session.info(),
                message,
                outcome -> onThread(session, order, () -> startAnswered(session, order, outcome)));
    }

    /** A worker that does not answer gets no longer lease, so that what runs there can be given up in time. */
    private long leaseFor(WorkerSession session, long nowMs) {
        return session.unanswered ? session.clock.grantedUntilMs() : session.clock.grant(timings.leaseMs(), nowMs);
    }

    private void startAnswered(WorkerSession session, RunOrder order, OrderOutcome outcome) {
        long nowMs = clock.nowMs();
        if (outcome instanceof OrderOutcome.Done done) {
            session.clock.heard(done.clockMs(), nowMs);
            session.answered(nowMs);
            order.phase = RunOrder.Phase.CONFIRMED;
            order.inDoubt = false;
            order.listedFromMs = nowMs;
            advance(session, order, nowMs);
        } else if (outcome instanceof OrderOutcome.Refused refused) {
            startRefused(session, order, refused.reason(), nowMs);
        } else {
            if (outcome instanceof OrderOutcome.Unanswered) {
                order.inDoubt = true;
                session.doubtedUntilMs.put(order.run.key(), nowMs + LATE_ORDER_MS);
            }
            session.unanswered = true;
            order.nextTryMs = nowMs + RETRY_MS;
        }
    }

    private void startRefused(WorkerSession session, RunOrder order, OrderRefusal reason, long nowMs) {
        metrics.count(ORDER_REFUSALS, reason);
        Log.event("startRefused")
                .with("run", order.run.key().toString())
                .with("worker", session.id())
                .with("reason", reason.name())
                .with("inDoubt", order.inDoubt)
                .warn();
        switch (reason) {
            case FENCED -> fencedOut = true;
            case OTHER_LIFE -> proposeGone(session, "otherLife");
            case OUTDATED -> verify(order, nowMs);
            case UNHEALTHY -> {
                session.unwellUntilMs = nowMs + UNWELL_MS;
                settleRefused(session, order);
            }
            case NO_ROOM, INVALID, TOO_LATE -> {
                session.unwellUntilMs = nowMs + UNWELL_MS;
                settleRefused(session, order);
            }
            case NO_TICKET -> settleRefused(session, order);
        }
    }

    /** A refused start frees the task at once, unless an earlier copy of the order may still arrive. */
    private void settleRefused(WorkerSession session, RunOrder order) {
        if (order.inDoubt) {
            stop(session, order);
        } else {
            proposeEnd(session, order, RunEndProto.RUN_REFUSED);
        }
    }

    private static void verify(RunOrder order, long nowMs) {
        order.phase = RunOrder.Phase.VERIFYING;
        order.listedFromMs = nowMs;
    }

    private void stop(WorkerSession session, RunOrder order) {
        order.inFlight = true;
        link.stop(
                session.info(),
                order.run.key(),
                term,
                outcome -> onThread(session, order, () -> stopAnswered(session, order, outcome)));
    }

    private void stopAnswered(WorkerSession session, RunOrder order, OrderOutcome outcome) {
        long nowMs = clock.nowMs();
        if (outcome instanceof OrderOutcome.Done done) {
            session.clock.heard(done.clockMs(), nowMs);
            session.answered(nowMs);
            order.phase = RunOrder.Phase.STOPPING;
            order.listedFromMs = nowMs;
            order.nextTryMs = nowMs + timings.stopMs() + STOP_AGAIN_MS;
        } else if (outcome instanceof OrderOutcome.Refused refused) {
            metrics.count(ORDER_REFUSALS, refused.reason());
            if (refused.reason() == OrderRefusal.FENCED) {
                fencedOut = true;
            } else if (refused.reason() == OrderRefusal.OTHER_LIFE) {
                proposeGone(session, "otherLife");
            } else {
                order.nextTryMs = nowMs + RETRY_MS;
            }
        } else {
            session.unanswered = true;
            order.nextTryMs = nowMs + RETRY_MS;
        }
    }

    private void onThread(WorkerSession session, RunOrder order, Runnable task) {
        replicaThread.execute(() -> {
            order.inFlight = false;
            session.startSettled(order.run.key());
            boolean isCurrent =
                    !closed && sessions.get(session.id()) == session && session.orders.get(order.run.key()) == order;
            if (isCurrent) {
                task.run();
            }
        });
    }

    // --- renewals and listings

    private void renewIfDue(WorkerSession session, long nowMs) {
        if (session.renewing || session.goneProposed || closed || fencedOut || nowMs < session.nextRenewMs) {
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
        long untilMs = mayGrant ? leaseFor(session, nowMs) : 0;
        RenewOrder order = new RenewOrder(term, untilMs, session.record.cursor(), mayGrant ? LISTING_WAIT_MS : 0);
        link.renew(
                session.info(),
                order,
                outcome -> replicaThread.execute(() -> {
                    session.renewing = false;
                    if (!closed && sessions.get(session.id()) == session) {
                        renewed(session, nowMs, outcome);
                    }
                }));
    }

    /** Stops, before anything else, a run whose start may still arrive at a worker that was given up. */
    private void buryNext(WorkerSession session) {
        RunKey run = session.tombstones.iterator().next();
        session.renewing = true;
        link.stop(
                session.info(),
                run,
                term,
                outcome -> replicaThread.execute(() -> {
                    session.renewing = false;
                    if (outcome instanceof OrderOutcome.Done) {
                        session.tombstones.remove(run);
                    } else {
                        session.nextRenewMs = clock.nowMs() + RETRY_MS;
                    }
                    if (outcome instanceof OrderOutcome.Refused refused
                            && refused.reason() == OrderRefusal.OTHER_LIFE) {
                        proposeGone(session, "otherLife");
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
                fencedOut = true;
                Log.event("fencedOut")
                        .with("worker", session.id())
                        .with("term", term)
                        .warn();
            } else if (refused.reason() == OrderRefusal.OTHER_LIFE) {
                proposeGone(session, "otherLife");
            }
        } else if (outcome instanceof RenewOutcome.Unanswered unanswered) {
            session.unanswered = true;
            session.nextRenewMs = nowMs + RETRY_MS;
            if (unanswered.refusedConnection() && session.leaving) {
                proposeGone(session, "left");
            }
        }
    }

    private void listed(WorkerSession session, long askedAtMs, RenewOutcome.Listed listed, long nowMs) {
        if (listed.bornMs() != 0
                && session.info().getBornMs() != 0
                && listed.bornMs() != session.info().getBornMs()) {
            proposeGone(session, "reborn");
            return;
        }
        session.clock.heard(listed.clockMs(), nowMs);
        session.answered(nowMs);
        Set<RunKey> mentioned = new HashSet<>();
        takeEnds(session, listed.ended(), mentioned);
        for (RunView view : listed.running()) {
            mentioned.add(view.key());
            sawRunning(session, view, askedAtMs, nowMs);
        }
        for (RunOrder order : List.copyOf(session.orders.values())) {
            if (!mentioned.contains(order.run.key())) {
                sawNothingOf(session, order, askedAtMs);
            }
        }
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
                .with("fence", term)
                .with("runs", session.orders.size())
                .info();
        session.orders.values().forEach(order -> advance(session, order, nowMs));
    }

    private void takeEnds(WorkerSession session, List<EndView> ends, Set<RunKey> mentioned) {
        List<EndProto> fresh = new ArrayList<>();
        long cursor = session.proposedCursor;
        for (EndView end : ends) {
            mentioned.add(end.key());
            if (end.number() <= session.proposedCursor) {
                continue;
            }
            cursor = Math.max(cursor, end.number());
            fresh.add(EndProto.newBuilder()
                    .setTask(end.key().task().toProto())
                    .setRun(end.key().run())
                    .setHow(end.how())
                    .setCheckpoint(end.checkpoint())
                    .build());
            RunOrder order = session.orders.get(end.key());
            if (order != null) {
                order.phase = RunOrder.Phase.ENDING;
            }
            Log.event("runEnded")
                    .with("run", end.key().toString())
                    .with("worker", session.id())
                    .with("number", end.number())
                    .with("how", end.how().name())
                    .info();
        }
        if (!fresh.isEmpty()) {
            session.proposedCursor = cursor;
            proposeEnds(session, cursor, fresh);
        }
    }

    private void sawRunning(WorkerSession session, RunView view, long askedAtMs, long nowMs) {
        RunOrder order = session.orders.get(view.key());
        if (order == null) {
            stopStranger(session, view);
            return;
        }
        if (!view.checkpoint().isEmpty()) {
            order.checkpoint = view.checkpoint();
        }
        order.listed(view.percent(), nowMs);
        boolean isUncertain = order.phase == RunOrder.Phase.STARTING || order.phase == RunOrder.Phase.VERIFYING;
        if (isUncertain && !order.inFlight) {
            order.phase = RunOrder.Phase.CONFIRMED;
            order.inDoubt = false;
            order.listedFromMs = nowMs;
        }
        boolean isStillThere =
                order.phase == RunOrder.Phase.STOPPING && askedAtMs >= order.listedFromMs && nowMs >= order.nextTryMs;
        if (isStillThere) {
            order.phase = RunOrder.Phase.CONFIRMED;
        }
        advance(session, order, nowMs);
    }

    /** A run that the log does not know of there: given up earlier, and begun by an order that came late. */
    private void stopStranger(WorkerSession session, RunView view) {
        Log.event("strangerStopped")
                .with("run", view.key().toString())
                .with("worker", session.id())
                .warn();
        link.stop(session.info(), view.key(), term, _outcome -> {});
    }

    private void sawNothingOf(WorkerSession session, RunOrder order, long askedAtMs) {
        boolean isTold = askedAtMs >= order.listedFromMs && !order.inFlight;
        if (!isTold) {
            return;
        }
        switch (order.phase) {
            case VERIFYING, STOPPING -> proposeEnd(session, order, RunEndProto.RUN_REFUSED);
            case CONFIRMED -> proposeEnd(session, order, RunEndProto.RUN_LOST);
            default -> {}
        }
    }

    // --- workers that are lost

    private void giveUpIfLapsed(WorkerSession session, long nowMs) {
        long lapsedAtMs = Math.max(
                session.clock.isKnown() ? session.clock.lapsedAtMs() : 0,
                WorkerClock.lapsedAtMs(timings.leaseMs(), leadsSinceMs));
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
        List<EndProto> lost = new ArrayList<>();
        for (RunOrder order : session.orders.values()) {
            if (order.phase != RunOrder.Phase.ENDING) {
                order.phase = RunOrder.Phase.ENDING;
                lost.add(endOf(order, RunEndProto.RUN_LOST));
                boolean mayStillArrive = order.inDoubt || order.inFlight;
                if (mayStillArrive && rules.buryDoubts()) {
                    session.tombstones.add(order.run.key());
                }
            }
        }
        if (!lost.isEmpty()) {
            proposeEnds(session, session.proposedCursor, lost);
        }
        forgetIfSilent(session, nowMs);
    }

    private void forgetIfSilent(WorkerSession session, long nowMs) {
        boolean isSilent = nowMs - Math.max(session.heardAtMs, session.beatAtMs) > FORGET_MS;
        boolean isProposed = session.goneProposed;
        if ((session.leaving || isSilent) && !isProposed) {
            proposeGone(session, session.leaving ? "left" : "silent");
        }
    }

    private void proposeEnd(WorkerSession session, RunOrder order, RunEndProto how) {
        order.phase = RunOrder.Phase.ENDING;
        proposeEnds(session, session.record.cursor(), List.of(endOf(order, how)));
        Log.event("runGivenUp")
                .with("run", order.run.key().toString())
                .with("worker", session.id())
                .with("how", how.name())
                .info();
    }

    private static EndProto endOf(RunOrder order, RunEndProto how) {
        return EndProto.newBuilder()
                .setTask(order.run.key().task().toProto())
                .setRun(order.run.key().run())
                .setHow(how)
                .setCheckpoint(order.checkpoint)
                .build();
    }

    private void proposeEnds(WorkerSession session, long cursor, List<EndProto> ends) {
        proposals.propose(GraphCommandProto.newBuilder()
                .setEnd(EndsProto.newBuilder()
                        .setWorker(session.id())
                        .setBornMs(session.info().getBornMs())
                        .setCursor(cursor)
                        .addAllEnds(ends)));
    }

    /** This life of the worker has ended, and with it all that ran there. */
    private void proposeGone(WorkerSession session, String reason) {
        if (session.goneProposed) {
            return;
        }
        Log.event("workerGone")
                .with("worker", session.id())
                .with("reason", reason)
                .with("runs", session.orders.size())
                .warn();
        List<EndProto> lost = session.orders.values().stream()
                .filter(order -> order.phase != RunOrder.Phase.ENDING)
                .map(order -> endOf(order, RunEndProto.RUN_LOST))
                .toList();
        if (!lost.isEmpty()) {
            proposeEnds(session, session.record.cursor(), lost);
        }
        proposals.propose(GraphCommandProto.newBuilder()
                .setWorkerGone(WorkerGoneProto.newBuilder()
                        .setWorker(session.id())
                        .setBornMs(session.info().getBornMs())));
        session.goneProposed = true;
    }
}
