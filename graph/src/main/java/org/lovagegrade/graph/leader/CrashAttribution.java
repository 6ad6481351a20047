package org.lovagegrade.graph.leader;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.wire.proto.RunLossProto;

/** Collects what is known about the loss of a worker, for the tasks whose runs were lost with it. */
final class CrashAttribution {
    private final Supplier<Collection<WorkerSession>> sessions;
    private final Clock clock;
    private final LossHistory history = new LossHistory();

    /**
     * Creates the attribution for one term.
     *
     * @param sessions the workers that this leader drives
     * @param clock a monotonic clock
     */
    CrashAttribution(Supplier<Collection<WorkerSession>> sessions, Clock clock) {
        this.sessions = sessions;
        this.clock = clock;
    }

    /** The loss of a run whose worker has not answered until its lease had expired. */
    RunLossProto silent(WorkerSession session, RunTracker tracker) {
        return lossOf(session, tracker).build();
    }

    /** The losses of the runs of a worker that crashed. */
    Function<RunTracker, RunLossProto> crashed(WorkerSession session) {
        boolean isCommonFault = history.hintsAtCommonFault(session, sessions.get(), clock.nowMs());
        boolean isIsolated = hasRunsOfOneJob(session);
        return tracker -> lossOf(session, tracker)
                .setCountsAsCrash(!isCommonFault)
                .setIsolated(isIsolated)
                .build();
    }

    /** Remembers the loss of a worker, to compare the losses of others with it. */
    void record(WorkerSession lost) {
        history.record(lost, clock.nowMs());
    }

    private static boolean hasRunsOfOneJob(WorkerSession session) {
        List<RunTracker> aboard = session.runsAtLastAnswer();
        return aboard.stream()
                        .map(tracker -> tracker.run.key().task().job())
                        .distinct()
                        .count()
                == 1;
    }

    private static RunLossProto.Builder lossOf(WorkerSession session, RunTracker tracker) {
        return RunLossProto.newBuilder()
                .setSoonAfterStart(tracker.isSoonAfterStart(session.lastAnswerMs))
                .setSurvivedMs(tracker.survivedMs(session.lastAnswerMs));
    }
}
