package org.lovagegrade.graph.leader;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.RunView;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.RunEndProto;

/** Reconciles the runs and ends that a worker lists with the log. */
final class ListingReader {
    private final WorkerLink link;
    private final DriverTerm term;
    private final WorkerReports reports;
    private final OrderSender orders;

    ListingReader(WorkerLink link, DriverTerm term, WorkerReports reports, OrderSender orders) {
        this.link = link;
        this.term = term;
        this.reports = reports;
        this.orders = orders;
    }

    /** Handles a listing that was requested at {@code askedAtMs}. */
    void read(WorkerSession session, RenewOutcome.Listed listed, long askedAtMs, long nowMs) {
        Set<RunKey> mentioned = new HashSet<>();
        reports.listed(session, listed.ended(), mentioned);
        for (RunView view : listed.running()) {
            mentioned.add(view.key());
            sawRunning(session, view, askedAtMs, nowMs);
        }
        for (RunOrder order : List.copyOf(session.orders.values())) {
            if (!mentioned.contains(order.run.key())) {
                sawNothingOf(session, order, askedAtMs);
            }
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
        orders.advance(session, order, nowMs);
    }

    /** Stops a run that the log does not have on this worker: it was given up, and a late order began it. */
    private void stopStranger(WorkerSession session, RunView view) {
        Log.event("strangerStopped")
                .with("run", view.key().toString())
                .with("worker", session.id())
                .warn();
        link.stop(session.info(), view.key(), term.number(), _outcome -> {});
    }

    private void sawNothingOf(WorkerSession session, RunOrder order, long askedAtMs) {
        boolean isTold = askedAtMs >= order.listedFromMs && !order.inFlight;
        if (!isTold) {
            return;
        }
        switch (order.phase) {
            case VERIFYING, STOPPING -> reports.ended(session, order, RunEndProto.RUN_REFUSED);
            case CONFIRMED -> reports.ended(session, order, RunEndProto.RUN_LOST);
            default -> {}
        }
    }
}
