package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.worker.EndedRunView;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.RunLossProto;
import org.lovagegrade.wire.proto.WorkerGoneProto;

/** Proposes the ends of runs and the removal of workers to the log. */
final class OutcomeProposer {
    private final CommandProposer proposer;
    private final CrashAttribution crashAttribution;
    private final RunAccounting accounting;

    OutcomeProposer(CommandProposer proposer, CrashAttribution crashAttribution, RunAccounting accounting) {
        this.proposer = proposer;
        this.crashAttribution = crashAttribution;
        this.accounting = accounting;
    }

    /** Proposes the ends that a worker lists, each once, and adds their runs to {@code listedRuns}. */
    void proposeListedEnds(WorkerSession session, List<EndedRunView> ends, Set<RunKey> listedRuns) {
        List<EndProto> newEnds = new ArrayList<>();
        long cursor = session.proposedCursor;
        for (EndedRunView end : ends) {
            listedRuns.add(end.key());
            if (end.number() <= session.proposedCursor) {
                continue;
            }
            cursor = Math.max(cursor, end.number());
            RunTracker tracker = session.runs.get(end.key());
            if (tracker != null) {
                tracker.phase = RunTracker.Phase.ENDING;
            }
            newEnds.add(listedEndOf(session, tracker, end));
        }
        if (!newEnds.isEmpty()) {
            session.proposedCursor = cursor;
            proposeEnds(session, cursor, newEnds);
        }
    }

    /** Accounts for the end of a run that a worker lists, and logs it; without a tracker it is a run of another leader. */
    private EndProto listedEndOf(WorkerSession session, RunTracker tracker, EndedRunView end) {
        RunUsage usage = tracker == null ? RunUsage.NONE : accounting.end(tracker, end.how(), end.checkpoint());
        Log.event("runEnded")
                .with("run", end.key().toString())
                .with("worker", session.id())
                .with("number", end.number())
                .with("how", end.how().name())
                .with("coreMs", usage.coreMs())
                .with("savedCoreMs", usage.savedCoreMs())
                .with("waste", usage.waste().name())
                .info();
        return EndProto.newBuilder()
                .setTask(end.key().task().toProto())
                .setRun(end.key().run())
                .setHow(end.how())
                .setCheckpoint(end.checkpoint())
                .build();
    }

    /** Proposes the end of a run that its worker did not list. */
    void proposeEnd(WorkerSession session, RunTracker tracker, RunEndProto how) {
        tracker.phase = RunTracker.Phase.ENDING;
        proposeEnds(session, session.record.cursor(), List.of(endOf(tracker, how)));
        RunUsage usage = accounting.end(tracker, how, tracker.checkpoint);
        Log.event("runGivenUp")
                .with("run", tracker.run.key().toString())
                .with("worker", session.id())
                .with("how", how.name())
                .with("coreMs", usage.coreMs())
                .with("savedCoreMs", usage.savedCoreMs())
                .with("waste", usage.waste().name())
                .info();
    }

    /** Proposes that runs are lost, since the lease of their worker has expired. */
    void proposeLost(WorkerSession session, List<RunTracker> trackers) {
        if (!trackers.isEmpty()) {
            trackers.forEach(tracker -> tracker.phase = RunTracker.Phase.ENDING);
            proposeEnds(
                    session,
                    session.proposedCursor,
                    trackers.stream()
                            .map(tracker -> lostEndOf(tracker, crashAttribution.silent(session, tracker)))
                            .toList());
        }
    }

    /** Proposes the removal of this incarnation of a worker, after the end of its runs. */
    void proposeRemoval(WorkerSession session, WorkerRemovalReason reason) {
        if (session.removalProposed) {
            return;
        }
        session.removalProposed = true;
        session.crashed = reason.provesRestart() && !session.isLeaving();
        Log.event("workerGone")
                .with("worker", session.id())
                .with("bornMs", session.info().getBornMs())
                .with("reason", reason.logName())
                .with("runs", session.runs.size())
                .with("crashed", session.crashed)
                .warn();
        List<EndProto> lost = lostEnds(session);
        if (!session.isSucceeded()) {
            recordLoss(session);
        }
        if (!lost.isEmpty()) {
            proposeEnds(session, session.record.cursor(), lost);
        }
        proposer.propose(GraphCommandProto.newBuilder()
                .setWorkerGone(WorkerGoneProto.newBuilder()
                        .setWorker(session.id())
                        .setBornMs(session.info().getBornMs())));
    }

    /** Remembers the loss of a worker that had not announced its end, to compare the losses of others with it. */
    void recordLoss(WorkerSession session) {
        if (!session.isLeaving()) {
            crashAttribution.record(session);
        }
    }

    /** What the loss of a worker tells of its runs, by what is known of the worker now. */
    Function<RunTracker, RunLossProto> lossesOf(WorkerSession session) {
        return crashAttribution.crashed(session);
    }

    /** Proposes that runs are lost which are over with their incarnation, or which its successor does not have. */
    void proposeLostWithIncarnation(WorkerSession session, List<RunTracker> trackers) {
        if (!trackers.isEmpty()) {
            trackers.forEach(tracker -> tracker.phase = RunTracker.Phase.ENDING);
            proposeEnds(session, session.record.cursor(), lostEndsOf(session, trackers));
        }
    }

    /** Proposes the ends of runs that a successor lists, whose numbers say nothing about the former incarnation. */
    void proposeEndsOnSuccessor(WorkerSession session, List<EndedRunView> ends) {
        List<EndProto> newEnds = new ArrayList<>();
        for (EndedRunView end : ends) {
            RunTracker tracker = session.runs.get(end.key());
            if (tracker != null && tracker.phase != RunTracker.Phase.ENDING) {
                tracker.phase = RunTracker.Phase.ENDING;
                newEnds.add(listedEndOf(session, tracker, end));
            }
        }
        if (!newEnds.isEmpty()) {
            proposeEnds(session, session.record.cursor(), newEnds);
        }
    }

    /** The ends of the worker's runs, and the losses of runs that were given up before the crash was noticed. */
    private List<EndProto> lostEnds(WorkerSession session) {
        List<RunTracker> lost = new ArrayList<>();
        session.runs.values().stream()
                .filter(tracker -> tracker.phase != RunTracker.Phase.ENDING)
                .forEach(lost::add);
        if (session.crashed && !session.isSucceeded()) {
            lost.addAll(session.runsLostWithLease.values());
        }
        return lostEndsOf(session, lost);
    }

    private List<EndProto> lostEndsOf(WorkerSession session, List<RunTracker> lost) {
        if (!session.crashed) {
            return lost.stream()
                    .map(tracker -> endOf(tracker, RunEndProto.RUN_LOST))
                    .toList();
        }
        Function<RunTracker, RunLossProto> losses =
                session.isSucceeded() ? session.succession.losses : crashAttribution.crashed(session);
        return lost.stream()
                .map(tracker -> tracker.orderSent
                        ? lostEndOf(tracker, losses.apply(tracker))
                        : endOf(tracker, RunEndProto.RUN_LOST))
                .toList();
    }

    private static EndProto lostEndOf(RunTracker tracker, RunLossProto loss) {
        return endOf(tracker, RunEndProto.RUN_LOST).toBuilder().setLoss(loss).build();
    }

    private static EndProto endOf(RunTracker tracker, RunEndProto how) {
        return EndProto.newBuilder()
                .setTask(tracker.run.key().task().toProto())
                .setRun(tracker.run.key().run())
                .setHow(how)
                .setCheckpoint(tracker.checkpoint)
                .build();
    }

    private void proposeEnds(WorkerSession session, long cursor, List<EndProto> ends) {
        proposer.propose(GraphCommandProto.newBuilder()
                .setEnd(EndsProto.newBuilder()
                        .setWorker(session.id())
                        .setBornMs(session.info().getBornMs())
                        .setCursor(cursor)
                        .addAllEnds(ends)));
    }
}
