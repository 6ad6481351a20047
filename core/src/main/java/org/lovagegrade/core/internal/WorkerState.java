package org.lovagegrade.core.internal;

import java.util.Comparator;
import java.util.TreeSet;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Worker;

/** The scheduler's state of one worker. */
final class WorkerState {
    static final Comparator<WorkerState> BY_ID = Comparator.comparing(worker -> worker.spec.id());

    final TreeSet<TaskState> tasks = new TreeSet<>(
            Comparator.<TaskState>comparingLong(task -> task.job.sequence).thenComparingInt(t -> t.index));
    final WorkerHealth health = new WorkerHealth();
    Worker spec;
    Resources free;
    boolean unresponsive;
    boolean leaving;
    JobState reservedFor;
    int indexKey = FreeCapacityIndex.NOT_INDEXED;

    WorkerState(Worker spec) {
        this.spec = spec;
        this.free = spec.capacity();
    }

    /** Whether the worker accepts new attempts other than probes. */
    boolean isUsable() {
        return !unresponsive && !leaving && !health.isSuspect();
    }
}
