package org.lovagegrade.core.internal;

import java.util.List;
import java.util.function.Consumer;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Resources;

/** Read-only view of an engine's state for metrics and status pages; valid until the engine's next event. */
public final class EngineView {
    private final Cell cell;

    EngineView(Cell cell) {
        this.cell = cell;
    }

    /**
     * State of one workspace.
     *
     * @param id the workspace's id
     * @param share its share of the cell, from 0 to 1
     * @param used the resources allocated to its tasks
     * @param waiting whether it has waiting jobs
     * @param waitsForCapacity whether any of its jobs could not be placed for lack of free capacity
     * @param limits its upper limits
     */
    public record WorkspaceView(
            String id, double share, Resources used, boolean waiting, boolean waitsForCapacity, Limits limits) {}

    /**
     * State of one worker.
     *
     * @param id the worker's id
     * @param failureDomain its failure domain
     * @param rack its rack
     * @param capacity its total resources
     * @param free its free resources; negative amounts if its tasks use more than its capacity
     * @param unresponsive whether it is unresponsive
     * @param suspect whether it is limited to probes after failures
     * @param tasks the number of tasks allocated to it
     */
    public record WorkerView(
            String id,
            String failureDomain,
            String rack,
            Resources capacity,
            Resources free,
            boolean unresponsive,
            boolean suspect,
            int tasks) {}

    /**
     * Visits all workspaces.
     *
     * @param visitor called with each workspace, in order of id
     */
    public void forEachWorkspace(Consumer<WorkspaceView> visitor) {
        for (WorkspaceState workspace : cell.workspaces()) {
            visitor.accept(new WorkspaceView(
                    workspace.spec.id(),
                    workspace.spec.share(),
                    workspace.used,
                    !workspace.waitingJobs.isEmpty(),
                    workspace.waitingJobs.hasBlockedByCapacity(),
                    workspace.spec.limits()));
        }
    }

    /**
     * Visits all workers.
     *
     * @param visitor called with each worker, in order of id
     */
    public void forEachWorker(Consumer<WorkerView> visitor) {
        for (WorkerState worker : cell.workers()) {
            visitor.accept(new WorkerView(
                    worker.spec.id(),
                    worker.spec.failureDomain(),
                    worker.spec.rack(),
                    worker.spec.capacity(),
                    worker.free,
                    worker.unresponsive,
                    worker.health.isSuspect(),
                    worker.tasks.size()));
        }
    }

    /**
     * Lists the workers of a failure domain, unresponsive ones included.
     *
     * @param failureDomain the failure domain
     * @return their ids, sorted
     */
    public List<String> workersOf(String failureDomain) {
        return cell.workers().stream()
                .filter(worker -> worker.spec.failureDomain().equals(failureDomain))
                .map(worker -> worker.spec.id())
                .toList();
    }

    /**
     * Returns the total capacity of the responsive workers, including those that are leaving or suspect, without those
     * of evacuated failure domains.
     *
     * @return the sum of their capacities
     */
    public Resources responsiveCapacity() {
        return cell.responsiveCapacity();
    }
}
