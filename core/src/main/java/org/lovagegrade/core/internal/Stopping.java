package org.lovagegrade.core.internal;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.Set;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** Asks workers to stop attempts, with a checkpoint first where the work is to go on later. */
final class Stopping {
    private static final long CHECKPOINT_GRACE_MS = 5_000;
    private static final long URGENT_CHECKPOINT_GRACE_MS = 250;
    private static final Set<Reason> WITHOUT_CHECKPOINT = EnumSet.of(Reason.CANCELLED, Reason.GANG_MEMBER_LOST);

    private final Cell cell;
    private final DecisionLog log;
    private final Timers timers;

    Stopping(Cell cell, DecisionLog log, Timers timers) {
        this.cell = cell;
        this.log = log;
        this.timers = timers;
    }

    /** Asks for the stop of a task, and of the rest of its gang. */
    void request(TaskState task, Reason reason, long nowMs) {
        if (!task.job.isGang()) {
            requestOne(task, reason, nowMs);
            return;
        }
        for (TaskState member : task.job.tasks) {
            requestOne(member, reason, nowMs);
        }
    }

    /** Goes on to the stop of a task that has its checkpoint. */
    void checkpointed(TaskState task) {
        if (task.phase == TaskPhase.CHECKPOINTING) {
            tellToStop(task);
        }
    }

    /** Tells a worker that is heard again what it could not be told before. */
    void repeatFor(WorkerState worker) {
        for (TaskState task : worker.tasks) {
            if (task.phase == TaskPhase.STOPPING) {
                log.aboutAttempt(Action.STOP, task.attempt(), task.stopReason);
            }
        }
    }

    /** Brings a workspace back under its limit, cheapest work first. */
    void enforceLimit(WorkspaceState workspace, long nowMs) {
        Resources over = excess(workspace);
        while (!over.equals(Resources.NONE)) {
            TaskState victim = cheapestThatHelps(workspace, over);
            if (victim == null) {
                return;
            }
            request(victim, Reason.OVER_WORKSPACE_LIMIT, nowMs);
            over = excess(workspace);
        }
    }

    /** Stops work on a worker whose tasks use more than it has. */
    void relieve(WorkerState worker, long nowMs) {
        Resources expected = worker.free;
        for (TaskState task : worker.tasks) {
            if (task.isStopRequested()) {
                expected = expected.plus(task.held);
            }
        }
        while (expected.isNegative()) {
            TaskState victim = worker.tasks.stream()
                    .filter(task -> task.phase == TaskPhase.HELD)
                    .min(Comparator.<TaskState, Boolean>comparing(task -> task.job.isUrgent())
                            .thenComparing(task -> task.job.isService())
                            .thenComparing(Comparator.<TaskState>comparingLong(task -> task.placedAtMs)
                                    .reversed())
                            .thenComparingLong(task -> -task.victimSequence))
                    .orElse(null);
            if (victim == null) {
                return;
            }
            expected = expected.plus(victim.held);
            request(victim, Reason.OVER_WORKER_CAPACITY, nowMs);
        }
    }

    private static Resources excess(WorkspaceState workspace) {
        Resources staying = workspace.used.minus(workspace.stopping);
        return Resources.NONE.max(staying.minus(workspace.spec.limits().maxUsage()));
    }

    private static TaskState cheapestThatHelps(WorkspaceState workspace, Resources over) {
        for (TaskState task : workspace.running) {
            boolean helps = (over.milliCores() > 0 && task.held.milliCores() > 0)
                    || (over.memoryMb() > 0 && task.held.memoryMb() > 0)
                    || (over.accelerators() > 0 && task.held.accelerators() > 0);
            if (helps) {
                return task;
            }
        }
        return null;
    }

    private void requestOne(TaskState task, Reason reason, long nowMs) {
        if (task.phase == TaskPhase.CHECKPOINTING && WITHOUT_CHECKPOINT.contains(reason)) {
            task.stopReason = reason;
            tellToStop(task);
            return;
        }
        if (task.phase != TaskPhase.HELD) {
            return;
        }
        cell.markStopping(task);
        task.stopReason = reason;
        if (WITHOUT_CHECKPOINT.contains(reason)) {
            tellToStop(task);
            return;
        }
        task.phase = TaskPhase.CHECKPOINTING;
        log.aboutAttempt(Action.CHECKPOINT, task.attempt(), reason);
        long graceMs = reason == Reason.URGENT_WORK_WAITS ? URGENT_CHECKPOINT_GRACE_MS : CHECKPOINT_GRACE_MS;
        int attemptNumber = task.attemptNumber;
        timers.at(nowMs + graceMs, () -> {
            if (task.attemptNumber == attemptNumber) {
                checkpointed(task);
            }
        });
    }

    private void tellToStop(TaskState task) {
        task.phase = TaskPhase.STOPPING;
        if (!task.worker.silent) {
            log.aboutAttempt(Action.STOP, task.attempt(), task.stopReason);
        }
    }
}
