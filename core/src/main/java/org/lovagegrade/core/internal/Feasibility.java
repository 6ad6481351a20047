package org.lovagegrade.core.internal;

import java.util.Map;
import java.util.Optional;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** Judges whether a job could run if nothing else did. */
final class Feasibility {
    private final Cell cell;

    Feasibility(Cell cell) {
        this.cell = cell;
    }

    /** Why the job can't run as the cell and its workspace's limits stand, or nothing if it can. */
    Optional<Reason> infeasibilityReason(JobState job, Resources perTask) {
        if (!job.workspace.spec.limits().allow(perTask.times(job.tasksPerPlacement()))) {
            return Optional.of(Reason.LARGER_THAN_WORKSPACE_LIMIT);
        }
        long slots = slotsInEmptyCell(perTask);
        if (slots == 0) {
            return Optional.of(Reason.LARGER_THAN_ANY_WORKER);
        }
        if (slots < job.tasksPerPlacement()) {
            return Optional.of(Reason.LARGER_THAN_CELL);
        }
        return Optional.empty();
    }

    /** Plans with the corrected size where that can run, else with the declared one. */
    void planSize(JobState job) {
        Resources corrected = cell.sizeCorrection().plannedFor(job.spec);
        job.plannedPerTask = infeasibilityReason(job, corrected).isEmpty() ? corrected : job.spec.perTask();
    }

    private long slotsInEmptyCell(Resources perTask) {
        long slots = 0;
        for (Map.Entry<Resources, Integer> capacity :
                cell.workerCountByCapacity().entrySet()) {
            if (capacity.getValue() > 0) {
                slots += capacity.getValue() * capacity.getKey().fitCount(perTask);
            }
        }
        return slots;
    }
}
