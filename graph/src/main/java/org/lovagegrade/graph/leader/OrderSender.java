package org.lovagegrade.graph.leader;

import java.util.function.BiPredicate;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.RunEndProto;

/** Sends starts and stops to workers, and handles their outcomes. */
final class OrderSender {
    /** The delay before an unanswered order is sent again. */
    private static final long RETRY_MS = 150;
    /** A stopped run that is still listed is stopped again this long after the time that a stop may take. */
    private static final long STOP_AGAIN_MS = 1_000;
    /** How long a worker that reports itself unhealthy, or refuses a start that should fit, gets no starts. */
    private static final long UNWELL_MS = 1_000;
    /** An unanswered order may still arrive up to this much later. */
    private static final long LATE_ORDER_MS = 15_000;

    private final WorkerDriver.Parts parts;
    private final DriverTerm term;
    private final WorkerReports reports;
    private final BiPredicate<WorkerSession, RunOrder> isCurrent;

    /**
     * Creates the sender.
     *
     * @param parts the dependencies of the driver
     * @param term the term of the orders
     * @param reports proposes ends of runs and removals of workers
     * @param isCurrent whether the run is still on that incarnation of the worker according to the log
     */
    OrderSender(
            WorkerDriver.Parts parts,
            DriverTerm term,
            WorkerReports reports,
            BiPredicate<WorkerSession, RunOrder> isCurrent) {
        this.parts = parts;
        this.term = term;
        this.reports = reports;
        this.isCurrent = isCurrent;
    }

    /** Sends the order that is due for a run, if there is one. */
    void advance(WorkerSession session, RunOrder order, long nowMs) {
        boolean mayAct = session.introduced && !session.lapsed && !order.inFlight && nowMs >= order.nextTryMs;
        if (!mayAct || !term.mayAct()) {
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
                term.number(),
                order.run.checkpoint(),
                order.ticket);
        parts.link()
                .start(
                        session.info(),
                        message,
                        outcome -> onThread(session, order, () -> startAnswered(session, order, outcome)));
    }

    /** Returns the lease expiry; an unresponsive worker's lease is not extended, so that its runs can be given up. */
    long leaseFor(WorkerSession session, long nowMs) {
        return session.unanswered
                ? session.clock.grantedUntilMs()
                : session.clock.grant(parts.timings().leaseMs(), nowMs);
    }

    private void startAnswered(WorkerSession session, RunOrder order, OrderOutcome outcome) {
        long nowMs = parts.clock().nowMs();
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
        parts.metrics().count(WorkerDriver.ORDER_REFUSALS, reason);
        Log.event("startRefused")
                .with("run", order.run.key().toString())
                .with("worker", session.id())
                .with("reason", reason.name())
                .with("inDoubt", order.inDoubt)
                .warn();
        switch (reason) {
            case FENCED -> term.fencedOut();
            case OTHER_LIFE -> reports.gone(session, "otherLife");
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

    /** Frees the task of a refused start at once, unless an earlier copy of the order may still arrive. */
    private void settleRefused(WorkerSession session, RunOrder order) {
        if (order.inDoubt) {
            stop(session, order);
        } else {
            reports.ended(session, order, RunEndProto.RUN_REFUSED);
        }
    }

    private static void verify(RunOrder order, long nowMs) {
        order.phase = RunOrder.Phase.VERIFYING;
        order.listedFromMs = nowMs;
    }

    private void stop(WorkerSession session, RunOrder order) {
        order.inFlight = true;
        parts.link()
                .stop(
                        session.info(),
                        order.run.key(),
                        term.number(),
                        outcome -> onThread(session, order, () -> stopAnswered(session, order, outcome)));
    }

    private void stopAnswered(WorkerSession session, RunOrder order, OrderOutcome outcome) {
        long nowMs = parts.clock().nowMs();
        if (outcome instanceof OrderOutcome.Done done) {
            session.clock.heard(done.clockMs(), nowMs);
            session.answered(nowMs);
            order.phase = RunOrder.Phase.STOPPING;
            order.listedFromMs = nowMs;
            order.nextTryMs = nowMs + parts.timings().stopMs() + STOP_AGAIN_MS;
        } else if (outcome instanceof OrderOutcome.Refused refused) {
            parts.metrics().count(WorkerDriver.ORDER_REFUSALS, refused.reason());
            if (refused.reason() == OrderRefusal.FENCED) {
                term.fencedOut();
            } else if (refused.reason() == OrderRefusal.OTHER_LIFE) {
                reports.gone(session, "otherLife");
            } else {
                order.nextTryMs = nowMs + RETRY_MS;
            }
        } else {
            session.unanswered = true;
            order.nextTryMs = nowMs + RETRY_MS;
        }
    }

    private void onThread(WorkerSession session, RunOrder order, Runnable task) {
        parts.replicaThread().execute(() -> {
            order.inFlight = false;
            session.startSettled(order.run.key());
            if (!term.isClosed() && isCurrent.test(session, order)) {
                task.run();
            }
        });
    }
}
