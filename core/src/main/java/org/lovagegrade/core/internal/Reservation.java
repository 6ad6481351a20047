package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** Holds workers free for the one gang or large task that smaller work would keep out forever. */
final class Reservation {
    private static final long RESERVE_AFTER_MS = 5_000;
    private static final long PATIENCE_ABOVE_SHARE_MS = 600_000;
    private static final long LOOK_INTERVAL_MS = 1_000;
    private static final long GIVE_UP_MS = 600_000;
    private static final double LARGE_PART_OF_WORKER = 0.5;

    private final Cell cell;
    private final Timers timers;
    private JobState holder;
    private long heldUntilMs;
    private long nextLookMs;

    Reservation(Cell cell, Timers timers) {
        this.cell = cell;
        this.timers = timers;
    }

    void run(long nowMs) {
        if (holder != null && isOver(nowMs)) {
            cell.unreserveAll(holder);
            holder = null;
        }
        if (holder != null) {
            return;
        }
        JobState next = mostDue(nowMs);
        if (next == null) {
            return;
        }
        if (nowMs < nextLookMs) {
            timers.wakeAt(nextLookMs);
            return;
        }
        nextLookMs = nowMs + LOOK_INTERVAL_MS;
        List<WorkerState> workers = choose(next);
        if (workers.isEmpty()) {
            timers.wakeAt(nextLookMs);
            return;
        }
        workers.forEach(worker -> cell.reserve(worker, next));
        next.reservedUntilMs = nowMs;
        holder = next;
        heldUntilMs = nowMs + GIVE_UP_MS;
    }

    private boolean isOver(long nowMs) {
        return !holder.wantsPlacement() || holder.reserved.isEmpty() || nowMs >= heldUntilMs;
    }

    private JobState mostDue(long nowMs) {
        JobState best = null;
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = firstLarge(workspace);
            if (job == null || !cell.hasWorkspaceRoom(job)) {
                continue;
            }
            long dueMs = job.waitingSinceMs + patienceMs(job);
            if (nowMs < dueMs) {
                timers.wakeAt(dueMs);
                continue;
            }
            if (best == null || cell.goesBefore(job, best)) {
                best = job;
            }
        }
        return best;
    }

    /** Work that brings its workspace above its share must first have missed its waiting target. */
    private long patienceMs(JobState job) {
        Resources after = job.workspace.used.plus(job.neededAtOnce());
        return job.workspace.useOfShare(after, cell.responsiveCapacity()) <= 1
                ? RESERVE_AFTER_MS
                : job.workClass.waitTargetMs().orElse(PATIENCE_ABOVE_SHARE_MS);
    }

    private JobState firstLarge(WorkspaceState workspace) {
        JobState gang = workspace.waiting.firstParkedGang();
        JobState first = workspace.waiting.firstParked();
        if (first == null || first.isGang() || !isLarge(first)) {
            return gang;
        }
        return first;
    }

    private boolean isLarge(JobState job) {
        for (Resources capacity : cell.capacities().keySet()) {
            if (job.planned.dominantShareOf(capacity) >= LARGE_PART_OF_WORKER && capacity.covers(job.planned)) {
                return job.waitReason == Reason.NO_ROOM;
            }
        }
        return false;
    }

    /** The workers that will soonest have room for all tasks needed at once; those that services fill are no use. */
    private List<WorkerState> choose(JobState job) {
        List<WorkerState> usable = new ArrayList<>();
        for (WorkerState worker : cell.workers()) {
            if (worker.reservedFor == null && cell.mayTake(worker, job) && slotsWithoutBatch(worker, job) > 0) {
                usable.add(worker);
            }
        }
        usable.sort(Comparator.<WorkerState>comparingLong(worker -> -worker.free.timesCovering(job.planned))
                .thenComparingDouble(worker -> -worker.free.dominantShareOf(worker.spec.capacity()))
                .thenComparing(WorkerState.BY_ID));
        List<WorkerState> chosen = new ArrayList<>();
        long missing = job.tasksPerPlacement();
        for (WorkerState worker : usable) {
            chosen.add(worker);
            missing -= slotsWithoutBatch(worker, job);
            if (missing <= 0) {
                return chosen;
            }
        }
        return List.of();
    }

    private static long slotsWithoutBatch(WorkerState worker, JobState job) {
        Resources room = worker.spec.capacity();
        for (TaskState task : worker.tasks) {
            if (task.job.isService()) {
                room = room.minus(task.held);
            }
        }
        return room.timesCovering(job.planned);
    }
}
