package org.lovagegrade.graph.planning;

import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;

/**
 * A gang that doesn't fit now.
 *
 * @param step its step
 * @param members the number of its tasks
 * @param priority work with a higher priority number must not delay the gang
 * @param needsEmptyWorkers whether its members may share workers with no other job
 */
record GangRequest(StepRecord step, int members, int priority, boolean needsEmptyWorkers) {
    ResourceVector perTask() {
        return step.perTask();
    }

    /** How many members may run on a worker, whatever its capacity. */
    int limitOn(CandidateWorker worker) {
        int limit = step.spec().getMostPerWorker();
        return limit <= 0 ? members : Math.min(members, Math.max(0, limit - worker.tasksOf(step.name())));
    }

    /** Whether a worker is neither held for another gang nor isolated for another job. */
    boolean maySelect(CandidateWorker worker) {
        boolean isIsolatedForOther =
                worker.isIsolated() && !worker.isIsolatedFor(step.job().id());
        return !worker.isHeld() && !isIsolatedForOther;
    }
}
