package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.planning.RunTimes;

/**
 * Finds the runs that a leaving worker would take along although they can save a checkpoint. They are stopped as late as
 * a stop allows, since until then they make progress that the checkpoint saves.
 */
final class LeavingWorkers {
    /** Covers the time between two checks, and the way of the order to the worker. */
    private static final long STOP_MARGIN_MS = 600;

    private final LeaderTimings timings;
    private final RunTimes runTimes;

    LeavingWorkers(LeaderTimings timings, RunTimes runTimes) {
        this.timings = timings;
        this.runTimes = runTimes;
    }

    /** Returns the runs to stop now, without those that are being stopped or can end before their worker leaves. */
    List<RunRecord> runsToStop(Collection<WorkerSession> sessions, long nowMs) {
        List<RunRecord> toStop = new ArrayList<>();
        for (WorkerSession session : sessions) {
            boolean isDue = session.leavesAtMs > 0
                    && nowMs >= session.leavesAtMs - timings.stopMs() - STOP_MARGIN_MS
                    && session.info().getDraining();
            if (isDue) {
                session.runs.values().stream()
                        .filter(tracker -> isLostWithWorker(session, tracker, nowMs))
                        .forEach(tracker -> toStop.add(tracker.run));
            }
        }
        return toStop;
    }

    private boolean isLostWithWorker(WorkerSession session, RunTracker tracker, long nowMs) {
        return tracker.phase == RunTracker.Phase.CONFIRMED
                && !tracker.stopRequested
                && tracker.run.step().spec().getCheckpointing()
                && tracker.expectedEndMs(runTimes.expectedMs(tracker.run.step()), nowMs, timings.stopMs())
                        > session.leavesAtMs;
    }
}
