package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.worker.EndedRunView;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.WorkerGoneProto;

/** Proposes the ends of runs and the removal of workers to the log. */
final class WorkerReports {
    private final Proposals proposals;

    WorkerReports(Proposals proposals) {
        this.proposals = proposals;
    }

    /** Proposes the ends that a worker lists, each once, and adds their runs to {@code mentioned}. */
    void listed(WorkerSession session, List<EndedRunView> ends, Set<RunKey> mentioned) {
        List<EndProto> fresh = new ArrayList<>();
        long cursor = session.proposedCursor;
        for (EndedRunView end : ends) {
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

    /** Proposes the end of a run that its worker did not list. */
    void ended(WorkerSession session, RunOrder order, RunEndProto how) {
        order.phase = RunOrder.Phase.ENDING;
        proposeEnds(session, session.record.cursor(), List.of(endOf(order, how)));
        Log.event("runGivenUp")
                .with("run", order.run.key().toString())
                .with("worker", session.id())
                .with("how", how.name())
                .info();
    }

    /** Proposes that runs are lost, since the lease of their worker has expired. */
    void lost(WorkerSession session, List<RunOrder> orders) {
        if (!orders.isEmpty()) {
            orders.forEach(order -> order.phase = RunOrder.Phase.ENDING);
            proposeEnds(
                    session,
                    session.proposedCursor,
                    orders.stream()
                            .map(order -> endOf(order, RunEndProto.RUN_LOST))
                            .toList());
        }
    }

    /** Proposes the removal of this incarnation of a worker, after the end of its runs. */
    void gone(WorkerSession session, String reason) {
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
}
