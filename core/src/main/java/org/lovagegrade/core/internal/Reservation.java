package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/**
 * Reserves workers for one gang or large task at a time, which smaller tasks would otherwise starve by taking each
 * slot as it becomes free.
 */
final class Reservation {
    private static final long RESERVE_AFTER_MS = 5_000;
    private static final long RESERVE_AFTER_ABOVE_SHARE_MS = 600_000;
    private static final long SEARCH_INTERVAL_MS = 1_000;
    private static final long RESERVATION_TIMEOUT_MS = 600_000;
    private static final double LARGE_TASK_FRACTION = 0.5;

    private final Cell cell;
    private final Timers timers;
    private JobState holder;
    private long reservationEndsMs;
    private long nextSearchMs;

    Reservation(Cell cell, Timers timers) {
        this.cell = cell;
        this.timers = timers;
    }

    void run(long nowMs) {
        if (holder != null && isReservationOver(nowMs)) {
            cell.unreserveAll(holder);
            holder = null;
        }
        if (holder != null) {
            return;
        }
        JobState next = firstDue(nowMs);
        if (next == null) {
            return;
        }
        if (nowMs < nextSearchMs) {
            timers.wakeAt(nextSearchMs);
            return;
        }
        nextSearchMs = nowMs + SEARCH_INTERVAL_MS;
        List<WorkerState> workers = chooseWorkers(next);
        if (workers.isEmpty()) {
            timers.wakeAt(nextSearchMs);
            return;
        }
        workers.forEach(worker -> cell.reserve(worker, next));
        next.reservedUntilMs = nowMs;
        holder = next;
        reservationEndsMs = nowMs + RESERVATION_TIMEOUT_MS;
    }

    private boolean isReservationOver(long nowMs) {
        return !holder.wantsPlacement() || holder.reservedWorkers.isEmpty() || nowMs >= reservationEndsMs;
    }

    private JobState firstDue(long nowMs) {
        JobState best = null;
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = firstLargeJob(workspace);
            if (job == null || !cell.fitsWorkspaceLimits(job)) {
                continue;
            }
            long dueMs = job.waitingSinceMs + reserveDelayMs(job);
            if (nowMs < dueMs) {
                timers.wakeAt(dueMs);
                continue;
            }
            if (best == null || cell.precedes(job, best)) {
                best = job;
            }
        }
        return best;
    }

    /** A job that would exceed its workspace's share gets a reservation only after it has missed its wait target. */
    private long reserveDelayMs(JobState job) {
        Resources after = job.workspace.used.plus(job.neededPerPlacement());
        return job.workspace.shareUtilization(after, cell.responsiveCapacity()) <= 1
                ? RESERVE_AFTER_MS
                : job.workClass.waitTargetMs().orElse(RESERVE_AFTER_ABOVE_SHARE_MS);
    }

    private JobState firstLargeJob(WorkspaceState workspace) {
        JobState gang = workspace.waitingJobs.firstBlockedGang();
        JobState first = workspace.waitingJobs.firstBlocked();
        if (first == null || first.isGang() || !isLargeAndBlocked(first)) {
            return gang;
        }
        return first;
    }

    private boolean isLargeAndBlocked(JobState job) {
        for (Resources capacity : cell.workerCountByCapacity().keySet()) {
            if (job.plannedPerTask.dominantShareOf(capacity) >= LARGE_TASK_FRACTION
                    && capacity.covers(job.plannedPerTask)) {
                return job.waitReason == Reason.NO_ROOM;
            }
        }
        return false;
    }

    /**
     * The workers with the most free capacity that can fit one placement once batch and gang tasks have ended, or an
     * empty list. Capacity used by services is not counted, as services don't end by themselves.
     */
    private List<WorkerState> chooseWorkers(JobState job) {
        List<WorkerState> candidates = new ArrayList<>();
        for (WorkerState worker : cell.workers()) {
            if (worker.reservedFor == null && cell.isEligible(worker, job) && slotsBesideServices(worker, job) > 0) {
                candidates.add(worker);
            }
        }
        candidates.sort(Comparator.<WorkerState>comparingLong(worker -> -worker.free.fitCount(job.plannedPerTask))
                .thenComparingDouble(worker -> -worker.free.dominantShareOf(worker.spec.capacity()))
                .thenComparing(WorkerState.BY_ID));
        List<WorkerState> chosen = new ArrayList<>();
        long missingSlots = job.tasksPerPlacement();
        for (WorkerState worker : candidates) {
            chosen.add(worker);
            missingSlots -= slotsBesideServices(worker, job);
            if (missingSlots <= 0) {
                return chosen;
            }
        }
        return List.of();
    }

    private static long slotsBesideServices(WorkerState worker, JobState job) {
        Resources available = worker.spec.capacity();
        for (TaskState task : worker.tasks) {
            if (task.job.isService()) {
                available = available.minus(task.allocated);
            }
        }
        return available.fitCount(job.plannedPerTask);
    }
}
