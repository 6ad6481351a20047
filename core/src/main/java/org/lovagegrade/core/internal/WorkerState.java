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
    /** Whether its failure domain is evacuated. */
    boolean evacuated;

    JobState reservedFor;
    /** The isolated job whose tasks run here, if there is one. */
    JobState isolatedFor;

    int indexKey = FreeCapacityIndex.NOT_INDEXED;

    WorkerState(Worker spec) {
        this.spec = spec;
        this.free = spec.capacity();
    }

    /** Whether isolation of the job or of one that runs here forbids the job to share this worker. */
    boolean isClosedTo(JobState job) {
        boolean isOthersOwn = isolatedFor != null && isolatedFor != job;
        return isOthersOwn || (job.needsOwnWorker() && tasks.stream().anyMatch(task -> task.job != job));
    }

    /** Whether the worker accepts new attempts other than probes. */
    boolean isUsable() {
        return acceptsProbes() && !health.isSuspect();
    }

    /** Whether the worker accepts new attempts, if only probes while it is suspect. */
    boolean acceptsProbes() {
        return !unresponsive && !leaving && !evacuated;
    }
}
