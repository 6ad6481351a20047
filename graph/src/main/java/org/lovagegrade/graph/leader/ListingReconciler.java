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
final class ListingReconciler {
    private final WorkerLink link;
    private final OutcomeProposer outcomeProposer;
    private final OrderSender orderSender;
    private final BegunJobs begunJobs;
    private final UnknownRuns unknownRuns;
    private final long maxOrderDelayMs;

    ListingReconciler(
            WorkerDriver.Dependencies dependencies,
            OutcomeProposer outcomeProposer,
            OrderSender orderSender,
            BegunJobs begunJobs,
            UnknownRuns unknownRuns) {
        this.link = dependencies.link();
        this.maxOrderDelayMs = dependencies.timings().maxOrderDelayMs();
        this.outcomeProposer = outcomeProposer;
        this.orderSender = orderSender;
        this.begunJobs = begunJobs;
        this.unknownRuns = unknownRuns;
    }

    /** Handles a listing that was requested at {@code requestedAtMs}. */
    void reconcile(WorkerSession session, RenewOutcome.Listed listed, long requestedAtMs, long nowMs) {
        Set<RunKey> listedRuns = new HashSet<>();
        outcomeProposer.proposeListedEnds(session, listed.ended(), listedRuns);
        session.unknownRuns.clear();
        unknownRuns.record(session, listed.running(), nowMs);
        for (RunView view : listed.running()) {
            listedRuns.add(view.key());
            handleListedRun(session, view, requestedAtMs, nowMs);
        }
        List<RunTracker> missing = session.runs.values().stream()
                .filter(tracker -> !listedRuns.contains(tracker.run.key()))
                .toList();
        if (listed.endsComplete()) {
            missing.forEach(tracker -> handleMissingRun(session, tracker, requestedAtMs));
        } else {
            reportIncompleteListing(session, listed.ended().size(), missing.size());
        }
    }

    /** A run that is missing here may have ended, and its end follows once the listed ones are acknowledged. */
    private static void reportIncompleteListing(WorkerSession session, int ends, int missingRuns) {
        Log.event("listingIncomplete")
                .with("worker", session.id())
                .with("ends", ends)
                .with("missingRuns", missingRuns)
                .info();
    }

    private void handleListedRun(WorkerSession session, RunView view, long requestedAtMs, long nowMs) {
        RunTracker tracker = session.runs.get(view.key());
        if (tracker == null) {
            session.unknownRuns.add(view.key());
            stopUnknownRun(session, view);
            return;
        }
        tracker.recordCheckpoint(view.checkpoint(), nowMs);
        tracker.recordExistence(nowMs);
        begunJobs.add(tracker.run);
        tracker.begunByAddressee = true;
        tracker.settleCopies(requestedAtMs, maxOrderDelayMs);
        tracker.recordProgress(view.percent(), nowMs);
        boolean isUnconfirmed =
                tracker.phase == RunTracker.Phase.STARTING || tracker.phase == RunTracker.Phase.VERIFYING;
        if (isUnconfirmed && !tracker.inFlight) {
            tracker.phase = RunTracker.Phase.CONFIRMED;
            tracker.inDoubt = false;
            tracker.listingValidFromMs = nowMs;
        }
        boolean isStopOverdue = tracker.phase == RunTracker.Phase.STOPPING
                && requestedAtMs >= tracker.listingValidFromMs
                && nowMs >= tracker.nextSendMs;
        if (isStopOverdue) {
            tracker.phase = RunTracker.Phase.CONFIRMED;
        }
        orderSender.sendIfDue(session, tracker, nowMs);
    }

    /** Stops a run that the log does not have on this worker: it was given up, and a late order began it. */
    private void stopUnknownRun(WorkerSession session, RunView view) {
        Log.event("strangerStopped")
                .with("run", view.key().toString())
                .with("worker", session.id())
                .warn();
        link.stop(session.info(), view.key(), session.fencingToken, _outcome -> {});
    }

    private void handleMissingRun(WorkerSession session, RunTracker tracker, long requestedAtMs) {
        boolean isConclusive = requestedAtMs >= tracker.listingValidFromMs && !tracker.inFlight;
        if (!isConclusive) {
            return;
        }
        switch (tracker.phase) {
            case VERIFYING, STOPPING -> outcomeProposer.proposeEnd(session, tracker, RunEndProto.RUN_REFUSED);
            case CONFIRMED -> outcomeProposer.proposeEnd(session, tracker, RunEndProto.RUN_LOST);
            default -> {}
        }
    }
}
