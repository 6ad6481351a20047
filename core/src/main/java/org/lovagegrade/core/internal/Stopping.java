package org.lovagegrade.core.internal;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.Set;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** Stops attempts on workers, after a checkpoint if the task is to continue later. */
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

    /** Requests the stop of a task and of the rest of its gang. */
    void request(TaskState task, Reason reason, long nowMs) {
        if (!task.job.isGang()) {
            requestOne(task, reason, nowMs);
            return;
        }
        for (TaskState member : task.job.tasks) {
            requestOne(member, reason, nowMs);
        }
    }

    /** Stops a task whose checkpoint is complete or timed out. */
    void checkpointed(TaskState task) {
        if (task.phase == TaskPhase.CHECKPOINTING) {
            sendStop(task);
        }
    }

    /** Resends stops to a worker that is responsive again and may not have received them. */
    void resendStops(WorkerState worker) {
        for (TaskState task : worker.tasks) {
            if (task.phase == TaskPhase.STOPPING) {
                log.aboutAttempt(Action.STOP, task.attempt(), task.stopReason);
            }
        }
    }

    /** Stops tasks of a workspace, cheapest first, until it is within its limits. */
    void enforceLimit(WorkspaceState workspace, long nowMs) {
        Resources excess = excessUsage(workspace);
        while (!excess.equals(Resources.NONE)) {
            TaskState victim = cheapestVictim(workspace, excess);
            if (victim == null) {
                return;
            }
            request(victim, Reason.OVER_WORKSPACE_LIMIT, nowMs);
            excess = excessUsage(workspace);
        }
    }

    /** Stops tasks on a worker until the rest fit its capacity. */
    void resolveOvercommit(WorkerState worker, long nowMs) {
        Resources freeAfterStops = worker.free;
        for (TaskState task : worker.tasks) {
            if (task.isStopRequested()) {
                freeAfterStops = freeAfterStops.plus(task.allocated);
            }
        }
        while (freeAfterStops.isNegative()) {
            TaskState victim = worker.tasks.stream()
                    .filter(task -> task.phase == TaskPhase.PLACED)
                    .min(Comparator.<TaskState, Boolean>comparing(task -> task.job.isUrgent())
                            .thenComparing(task -> task.job.isService())
                            .thenComparing(Comparator.<TaskState>comparingLong(task -> task.placedAtMs)
                                    .reversed())
                            .thenComparingLong(task -> -task.placementSequence))
                    .orElse(null);
            if (victim == null) {
                return;
            }
            freeAfterStops = freeAfterStops.plus(victim.allocated);
            request(victim, Reason.OVER_WORKER_CAPACITY, nowMs);
        }
    }

    private static Resources excessUsage(WorkspaceState workspace) {
        Resources remaining = workspace.used.minus(workspace.stoppingUsage);
        return Resources.NONE.max(remaining.minus(workspace.spec.limits().maxUsage()));
    }

    private static TaskState cheapestVictim(WorkspaceState workspace, Resources excess) {
        for (TaskState task : workspace.running) {
            boolean helps = (excess.milliCores() > 0 && task.allocated.milliCores() > 0)
                    || (excess.memoryMb() > 0 && task.allocated.memoryMb() > 0)
                    || (excess.accelerators() > 0 && task.allocated.accelerators() > 0);
            if (helps) {
                return task;
            }
        }
        return null;
    }

    private void requestOne(TaskState task, Reason reason, long nowMs) {
        if (task.phase == TaskPhase.CHECKPOINTING && WITHOUT_CHECKPOINT.contains(reason)) {
            task.stopReason = reason;
            sendStop(task);
            return;
        }
        if (task.phase != TaskPhase.PLACED) {
            return;
        }
        cell.markStopping(task);
        task.stopReason = reason;
        if (WITHOUT_CHECKPOINT.contains(reason)) {
            sendStop(task);
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

    private void sendStop(TaskState task) {
        task.phase = TaskPhase.STOPPING;
        if (!task.worker.unresponsive) {
            log.aboutAttempt(Action.STOP, task.attempt(), task.stopReason);
        }
    }
}
