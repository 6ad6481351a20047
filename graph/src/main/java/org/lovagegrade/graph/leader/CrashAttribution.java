package org.lovagegrade.graph.leader;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.wire.proto.RunLossProto;

/** Collects what is known about the loss of a worker, for the tasks whose runs were lost with it. */
final class CrashAttribution {
    /** A run that its worker survived for this long is not the cause when another one crashes it at its start. */
    private static final long ESTABLISHED_AFTER_MS = 1_000;

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
        Optional<String> culprit = onlyPossibleCulprit(session);
        return tracker -> {
            boolean isBlamed = culprit.map(job -> job.equals(jobOf(tracker))).orElse(true);
            return lossOf(session, tracker)
                    .setCountsAsCrash(!isCommonFault && isBlamed)
                    .setIsolated(culprit.isPresent() && isBlamed)
                    .build();
        };
    }

    /** Remembers the loss of a worker, to compare the losses of others with it. */
    void record(WorkerSession lost) {
        history.record(lost, clock.nowMs());
    }

    /**
     * The only job that can have caused a crash: the only one on the worker, or that of the suspect task that had only
     * just begun there while the runs of all other jobs had proved harmless.
     */
    private static Optional<String> onlyPossibleCulprit(WorkerSession session) {
        List<RunTracker> possible = session.runsAtLastAnswer();
        Set<String> suspects = possible.stream()
                .filter(tracker -> tracker.isOfSuspectTask() && tracker.isSoonAfterStart(session.lastAnswerMs))
                .map(CrashAttribution::jobOf)
                .collect(Collectors.toSet());
        Set<String> jobs = possible.stream()
                .filter(tracker -> suspects.isEmpty() || !isEstablished(session, tracker))
                .map(CrashAttribution::jobOf)
                .collect(Collectors.toSet());
        return jobs.size() == 1 ? Optional.of(jobs.iterator().next()) : Optional.empty();
    }

    private static boolean isEstablished(WorkerSession session, RunTracker tracker) {
        return tracker.survivedMs(session.lastAnswerMs) >= ESTABLISHED_AFTER_MS;
    }

    private static String jobOf(RunTracker tracker) {
        return tracker.run.key().task().job();
    }

    private static RunLossProto.Builder lossOf(WorkerSession session, RunTracker tracker) {
        return RunLossProto.newBuilder()
                .setSoonAfterStart(tracker.isSoonAfterStart(session.lastAnswerMs))
                .setSurvivedMs(tracker.survivedMs(session.lastAnswerMs));
    }
}
