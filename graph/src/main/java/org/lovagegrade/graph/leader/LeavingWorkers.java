package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.planning.RunTimes;

/**
 * Finds the runs that would be lost with a leaving worker although they can save a checkpoint. They are stopped as late as
 * the duration of a stop allows, since the checkpoint saves the progress that they make until then.
 */
final class LeavingWorkers {
    /** Covers the time between two checks and the delay of the order to the worker. */
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
            boolean isDue = session.reports.leavesAtMs() > 0
                    && nowMs >= session.reports.leavesAtMs() - timings.stopMs() - STOP_MARGIN_MS
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
                        > session.reports.leavesAtMs();
    }
}
