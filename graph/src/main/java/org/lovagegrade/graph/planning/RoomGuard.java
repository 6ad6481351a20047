package org.lovagegrade.graph.planning;

import java.util.List;
import org.lovagegrade.graph.machine.ResourceVector;

/** Checks during a plan that less urgent tasks leave the room that is kept for the most urgent ones. */
final class RoomGuard {
    private static final int MAX_TASKS_PER_WORKER = 1_000;

    private final KeptRoom kept;
    private int missingTasks;
    private int slots;

    RoomGuard(KeptRoom kept, List<CandidateWorker> workers) {
        this.kept = kept;
        this.missingTasks = kept.tasks();
        if (missingTasks > 0) {
            workers.forEach(worker -> slots += slots(worker));
        }
    }

    private int slots(CandidateWorker worker) {
        return worker.isIsolated() ? 0 : slots(worker.free());
    }

    private int slots(ResourceVector free) {
        return kept.perTask().timesInto(free, MAX_TASKS_PER_WORKER);
    }

    /** Whether tasks of a priority may only use what the kept room leaves, unless they end in time. */
    boolean binds(int priority) {
        return missingTasks > 0 && priority > kept.priority();
    }

    boolean endsInTime(long runMs) {
        return runMs <= kept.slackMs();
    }

    /** How many of {@code max} tasks a worker can take if the tasks selected so far lose so many places. */
    int allowed(CandidateWorker worker, ResourceVector need, int max, int lostBefore) {
        int allowed = max;
        while (allowed > 0 && !leavesRoom(lostBefore, lost(worker, need.times(allowed)))) {
            allowed--;
        }
        return allowed;
    }

    /** How many urgent tasks less a worker can take if so much of it is used. */
    int lost(CandidateWorker worker, ResourceVector amount) {
        return worker.isIsolated()
                ? 0
                : slots(worker.free()) - slots(worker.free().minus(amount));
    }

    private boolean leavesRoom(int lostBefore, int lost) {
        return lost <= 0 || slots - lostBefore - lost >= missingTasks;
    }

    /** Allocates resources of a worker for tasks, and accounts for the change. */
    void allocating(CandidateWorker worker, int priority, Runnable allocation) {
        if (missingTasks <= 0) {
            allocation.run();
            return;
        }
        int before = slots(worker);
        allocation.run();
        slots += slots(worker) - before;
        missingTasks -= priority <= kept.priority() ? 1 : 0;
    }
}
