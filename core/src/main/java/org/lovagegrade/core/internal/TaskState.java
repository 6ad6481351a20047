package org.lovagegrade.core.internal;

import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkerRestarts;

/** The scheduler's state of one task. */
final class TaskState {
    final JobState job;
    final int index;
    TaskPhase phase = TaskPhase.WAITING;
    int attemptNumber;
    int failures;
    WorkerRestarts restarts = WorkerRestarts.NONE;
    WorkerState worker;
    Resources allocated = Resources.NONE;
    long placedAtMs;
    long placementSequence;
    boolean probe;
    Reason stopReason;
    long stopAtMs;

    TaskState(JobState job, int index) {
        this.job = job;
        this.index = index;
    }

    Attempt attempt() {
        return new Attempt(job.spec.id(), index, attemptNumber, worker == null ? "" : worker.spec.id());
    }

    boolean isOnWorker() {
        return phase == TaskPhase.PLACED || isStopRequested();
    }

    boolean isStopRequested() {
        return phase == TaskPhase.CHECKPOINTING || phase == TaskPhase.STOPPING;
    }
}
