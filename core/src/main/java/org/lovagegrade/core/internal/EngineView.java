package org.lovagegrade.core.internal;

import java.util.function.Consumer;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Resources;

/** Read access to an engine's state, for measures and status pages; valid until the engine's next event. */
public final class EngineView {
    private final Cell cell;

    EngineView(Cell cell) {
        this.cell = cell;
    }

    /**
     * One workspace's state.
     *
     * @param id the workspace's id
     * @param share its share
     * @param used what it holds
     * @param waiting whether it has work waiting
     * @param waitsForCapacity whether any of that work was tried and found no room
     * @param limits its upper limits
     */
    public record WorkspaceView(
            String id, double share, Resources used, boolean waiting, boolean waitsForCapacity, Limits limits) {}

    /**
     * One worker's state.
     *
     * @param id the worker's id
     * @param failureDomain its failure domain
     * @param rack its rack
     * @param capacity what it has
     * @param free what is free
     * @param unresponsive whether it is not heard
     * @param suspect whether it gets only probes
     * @param tasks how many tasks it holds
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
     * @param visitor is given each workspace, ordered by id
     */
    public void forEachWorkspace(Consumer<WorkspaceView> visitor) {
        for (WorkspaceState workspace : cell.workspaces()) {
            visitor.accept(new WorkspaceView(
                    workspace.spec.id(),
                    workspace.spec.share(),
                    workspace.used,
                    !workspace.waiting.isEmpty(),
                    workspace.waiting.hasParkedForRoom(),
                    workspace.spec.limits()));
        }
    }

    /**
     * Visits all workers.
     *
     * @param visitor is given each worker, ordered by id
     */
    public void forEachWorker(Consumer<WorkerView> visitor) {
        for (WorkerState worker : cell.workers()) {
            visitor.accept(new WorkerView(
                    worker.spec.id(),
                    worker.spec.failureDomain(),
                    worker.spec.rack(),
                    worker.spec.capacity(),
                    worker.free,
                    worker.silent,
                    worker.health.isSuspect(),
                    worker.tasks.size()));
        }
    }

    /**
     * What the workers have that are not silent.
     *
     * @return the sum of their capacities
     */
    public Resources responsiveCapacity() {
        return cell.responsiveCapacity();
    }
}
