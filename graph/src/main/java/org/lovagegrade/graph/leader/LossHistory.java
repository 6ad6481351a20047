package org.lovagegrade.graph.leader;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * Remembers when workers were lost, to tell a crash that a run may have caused from a fault that several workers have in
 * common, such as the loss of a rack. A loss is explained if a run had only just begun on the worker, or may have. Other
 * losses at the same time hint at a common fault if one of them is unexplained, or if several are in one place.
 */
final class LossHistory {
    /** A worker that has not answered for longer than a renewal takes is counted as lost. */
    private static final long SILENT_MS = 2_500;
    /** So many other workers of one rack or failure domain are not lost at the same time by chance. */
    private static final int MIN_LOSSES_IN_ONE_PLACE = 2;

    private static final long RETENTION_MS = 30_000;

    private final Deque<Loss> losses = new ArrayDeque<>();

    /** A loss that happened within a span of time, as far as the leader can tell. */
    private record Loss(WorkerProto worker, long earliestMs, long latestMs, boolean isExplained) {
        static Loss of(WorkerSession session, long nowMs) {
            return new Loss(
                    session.info(),
                    session.lostAfterMs(),
                    session.unansweredSinceMs(nowMs),
                    session.mayHaveHadRunSoonAfterStart());
        }

        boolean overlaps(Loss other) {
            return earliestMs <= other.latestMs && other.earliestMs <= latestMs;
        }

        boolean isInSamePlaceAs(Loss other) {
            return worker.getRack().equals(other.worker.getRack())
                    || worker.getFailureDomain().equals(other.worker.getFailureDomain());
        }
    }

    /** Records that a worker was lost. */
    void record(WorkerSession lost, long nowMs) {
        losses.removeIf(loss -> loss.latestMs + RETENTION_MS < nowMs);
        losses.add(Loss.of(lost, nowMs));
    }

    /** Whether other losses hint at a fault that the lost worker had in common with other workers. */
    boolean hintsAtCommonFault(WorkerSession lost, Collection<WorkerSession> sessions, long nowMs) {
        Loss own = Loss.of(lost, nowMs);
        List<Loss> others = new ArrayList<>(losses);
        sessions.stream()
                .filter(session -> session != lost && !session.removalProposed)
                .filter(session -> nowMs - session.lastAnswerMs >= SILENT_MS)
                .forEach(session -> others.add(Loss.of(session, nowMs)));
        others.removeIf(loss -> !loss.overlaps(own));
        return others.stream().anyMatch(loss -> !loss.isExplained)
                || others.stream().filter(own::isInSamePlaceAs).count() >= MIN_LOSSES_IN_ONE_PLACE;
    }
}
