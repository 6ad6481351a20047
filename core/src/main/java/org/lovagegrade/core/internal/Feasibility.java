package org.lovagegrade.core.internal;

import java.util.Map;
import java.util.Optional;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** Decides whether a job could run in an otherwise empty cell. */
final class Feasibility {
    private final Cell cell;

    Feasibility(Cell cell) {
        this.cell = cell;
    }

    /** Why the job can't run with the current workers and workspace limits, or empty if it can. */
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

    /** Sets the planned size to the corrected size if that is feasible, else to the declared size. */
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
