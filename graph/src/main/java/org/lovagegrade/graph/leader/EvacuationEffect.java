package org.lovagegrade.graph.leader;

import java.util.Collection;
import java.util.List;
import org.lovagegrade.graph.machine.Evacuation;
import org.lovagegrade.kernel.logging.Log;

/**
 * The workers, runs and starts that a committed order about a failure domain affects.
 *
 * @param evacuation the order
 * @param workers the number of workers in the failure domain
 * @param runs the number of runs, which go on
 * @param unconfirmedStarts the number of committed starts that no worker has confirmed; an evacuation withdraws them
 */
record EvacuationEffect(Evacuation evacuation, long workers, long runs, long unconfirmedStarts) {
    static EvacuationEffect of(Evacuation evacuation, Collection<WorkerSession> sessions) {
        List<WorkerSession> affected = sessions.stream()
                .filter(session -> session.info().getFailureDomain().equals(evacuation.failureDomain()))
                .toList();
        List<RunTracker> trackers = affected.stream()
                .flatMap(session -> session.runs.values().stream())
                .toList();
        long unconfirmedStarts = trackers.stream()
                .filter(tracker -> tracker.phase == RunTracker.Phase.STARTING)
                .count();
        return new EvacuationEffect(
                evacuation, affected.size(), trackers.size() - unconfirmedStarts, unconfirmedStarts);
    }

    void log() {
        Log.event("evacuationInForce")
                .with("domain", evacuation.failureDomain())
                .with("active", evacuation.isActive())
                .with("version", evacuation.version())
                .with("workers", workers)
                .with("runs", runs)
                .with("unconfirmedStarts", unconfirmedStarts)
                .info();
    }
}
