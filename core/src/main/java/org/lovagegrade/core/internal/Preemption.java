package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/**
 * Frees capacity for urgent jobs and for workspaces below their shares by stopping the cheapest tasks that may be
 * preempted.
 */
final class Preemption {
    /** An urgent job may preempt after its wait target divided by this. */
    private static final long URGENT_TRIGGER_DIVISOR = 4;

    /** A job that stays within its workspace's share may preempt after its share target divided by this. */
    private static final long SHARE_TRIGGER_DIVISOR = 20;

    private static final long RETRY_DELAY_MS = 500;
    private static final long RESERVATION_MS = 15_000;
    private static final int MAX_JOBS_PER_WORKSPACE = 32;
    private static final int MAX_PLANS_PER_DECISION = 32;
    private static final int MAX_CANDIDATES_PER_SLOT = 128;
    private static final long FOLLOW_UP_DELAY_MS = 5;

    private final Cell cell;
    private final Stopping stopping;
    private final Timers timers;
    private int plansLeft;

    Preemption(Cell cell, Stopping stopping, Timers timers) {
        this.cell = cell;
        this.stopping = stopping;
        this.timers = timers;
    }

    /** Whether a task may be preempted, given the resources already preempted from its workspace by the same plan. */
    @FunctionalInterface
    private interface VictimFilter {
        boolean mayPreempt(TaskState victim, Resources preempted);
    }

    void run(long nowMs) {
        plansLeft = MAX_PLANS_PER_DECISION;
        for (WorkspaceState workspace : List.copyOf(cell.workspacesByUtilization())) {
            boolean isBelowShare = workspace.lastShareUtilization < 1;
            if (workspace.waitingJobs.hasBlockedByCapacity()
                    && (isBelowShare || workspace.waitingJobs.hasBlockedUrgent())) {
                considerFirstJobs(workspace, nowMs);
            }
        }
    }

    private void considerFirstJobs(WorkspaceState workspace, long nowMs) {
        int considered = 0;
        for (JobState job : workspace.waitingJobs.blocked()) {
            consider(job, nowMs);
            if (++considered >= MAX_JOBS_PER_WORKSPACE) {
                return;
            }
        }
    }

    private void consider(JobState job, long nowMs) {
        if (job.waitReason != Reason.NO_ROOM || !cell.fitsWorkspaceLimits(job)) {
            return;
        }
        if (job.isUrgent()) {
            long targetMs = job.workClass.waitTargetMs().getAsLong();
            preemptIfDue(job, job.waitingSinceMs + targetMs / URGENT_TRIGGER_DIVISOR, nowMs, Reason.URGENT_WORK_WAITS);
        } else if (job.workClass.shareTargetMs().isPresent() && staysWithinShare(job)) {
            long targetMs = job.workClass.shareTargetMs().getAsLong();
            preemptIfDue(job, job.waitingSinceMs + targetMs / SHARE_TRIGGER_DIVISOR, nowMs, Reason.RESTORES_SHARE);
        }
    }

    private boolean staysWithinShare(JobState job) {
        Resources after = job.workspace.used.plus(job.neededPerPlacement());
        return job.workspace.shareUtilization(after, cell.responsiveCapacity()) <= 1;
    }

    private void preemptIfDue(JobState job, long triggerMs, long nowMs, Reason reason) {
        long dueMs = Math.max(triggerMs, job.nextPreemptionMs);
        if (nowMs < dueMs) {
            timers.wakeAt(dueMs);
            return;
        }
        if (!job.reservedWorkers.isEmpty() && nowMs < job.reservedUntilMs) {
            return;
        }
        if (plansLeft-- <= 0) {
            timers.wakeAt(nowMs + FOLLOW_UP_DELAY_MS);
            return;
        }
        if (preemptFor(job, reason, nowMs)) {
            job.nextPreemptionMs = nowMs + FOLLOW_UP_DELAY_MS;
        } else {
            job.nextPreemptionMs = nowMs + RETRY_DELAY_MS;
            timers.wakeAt(job.nextPreemptionMs);
        }
    }

    private boolean preemptFor(JobState job, Reason reason, long nowMs) {
        for (VictimFilter filter : victimFilters(job, reason)) {
            Map<WorkerState, List<TaskState>> victims = selectVictims(job, filter);
            if (victims != null && !victims.isEmpty()) {
                execute(victims, job, reason, nowMs);
                return true;
            }
        }
        return false;
    }

    /** The filters to try in order, from the least to the most intrusive. */
    private List<VictimFilter> victimFilters(JobState job, Reason reason) {
        VictimFilter overShare = (victim, preempted) ->
                !victim.job.isUrgent() && victim.job.workspace != job.workspace && keepsShare(victim, preempted);
        if (reason == Reason.RESTORES_SHARE) {
            return List.of(overShare);
        }
        VictimFilter sameWorkspace =
                (victim, _preempted) -> !victim.job.isUrgent() && victim.job.workspace == job.workspace;
        VictimFilter anyNotUrgent = (victim, _preempted) -> !victim.job.isUrgent();
        return List.of(overShare, sameWorkspace, anyNotUrgent);
    }

    /** Whether the victim's workspace still reaches its share without the victim and what is being stopped. */
    private boolean keepsShare(TaskState victim, Resources preempted) {
        WorkspaceState workspace = victim.job.workspace;
        Resources loss = victim.job.isGang() ? victim.allocated.times(victim.job.placedTasks) : victim.allocated;
        Resources after =
                workspace.used.minus(workspace.stoppingUsage).minus(preempted).minus(loss);
        return workspace.shareUtilization(after, cell.responsiveCapacity()) >= 1;
    }

    /** The victims by worker that free enough capacity for one placement of the job, or null. */
    private Map<WorkerState, List<TaskState>> selectVictims(JobState job, VictimFilter filter) {
        long missingSlots = job.tasksPerPlacement() - (job.isGang() ? freeSlots(job) : 0);
        long candidatesLeft = MAX_CANDIDATES_PER_SLOT * Math.max(1, missingSlots);
        IdentityHashMap<WorkspaceState, Resources> preempted = new IdentityHashMap<>();
        Map<WorkerState, List<TaskState>> victims = new TreeMap<>(WorkerState.BY_ID);
        IdentityHashMap<WorkerState, Resources> freeAfterStops = new IdentityHashMap<>();
        for (WorkspaceState workspace : workspacesByDescendingUtilization()) {
            for (TaskState victim : workspace.running) {
                if (candidatesLeft-- <= 0) {
                    return null;
                }
                WorkerState worker = victim.worker;
                Resources alreadyPreempted = preempted.getOrDefault(workspace, Resources.NONE);
                if (!cell.isEligible(worker, job) || !filter.mayPreempt(victim, alreadyPreempted)) {
                    continue;
                }
                Resources before = freeAfterStops.getOrDefault(worker, worker.free);
                Resources after = before.plus(victim.allocated);
                missingSlots -= after.fitCount(job.plannedPerTask) - before.fitCount(job.plannedPerTask);
                preempted.put(workspace, alreadyPreempted.plus(victim.allocated));
                freeAfterStops.put(worker, after);
                victims.computeIfAbsent(worker, _unused -> new ArrayList<>()).add(victim);
                if (missingSlots <= 0) {
                    return withoutUnneeded(victims, job);
                }
            }
        }
        return null;
    }

    private static Map<WorkerState, List<TaskState>> withoutUnneeded(
            Map<WorkerState, List<TaskState>> victims, JobState job) {
        Map<WorkerState, List<TaskState>> needed = new TreeMap<>(WorkerState.BY_ID);
        victims.forEach((worker, tasks) -> {
            List<TaskState> kept = minimalVictims(worker, tasks, job);
            if (!kept.isEmpty()) {
                needed.put(worker, kept);
            }
        });
        return needed;
    }

    /** Drops victims, in reverse order of selection, that are not needed to free the same number of slots. */
    private static List<TaskState> minimalVictims(WorkerState worker, List<TaskState> tasks, JobState job) {
        Resources freeAfterStops = worker.free;
        for (TaskState task : tasks) {
            freeAfterStops = freeAfterStops.plus(task.allocated);
        }
        long slots = freeAfterStops.fitCount(job.plannedPerTask);
        List<TaskState> kept = new ArrayList<>(tasks);
        for (int i = tasks.size() - 1; i >= 0; i--) {
            Resources without = freeAfterStops.minus(tasks.get(i).allocated);
            if (without.fitCount(job.plannedPerTask) >= slots) {
                freeAfterStops = without;
                kept.remove(i);
            }
        }
        return slots > worker.free.fitCount(job.plannedPerTask) ? kept : List.of();
    }

    private long freeSlots(JobState job) {
        long slots = 0;
        for (WorkerState worker : cell.workers()) {
            if (cell.isEligible(worker, job)) {
                slots += worker.free.fitCount(job.plannedPerTask);
            }
        }
        return slots;
    }

    /** Reserves the workers for the job and requests the stops of the victims. */
    private void execute(Map<WorkerState, List<TaskState>> victims, JobState job, Reason reason, long nowMs) {
        if (job.isGang()) {
            reserveFreeSlots(job);
        }
        victims.keySet().forEach(worker -> cell.reserve(worker, job));
        job.reservedUntilMs = nowMs + RESERVATION_MS;
        timers.at(job.reservedUntilMs, () -> {
            // A later preemption for the job may have extended the reservation.
            if (job.reservedUntilMs <= nowMs + RESERVATION_MS) {
                cell.unreserveAll(job);
            }
        });
        victims.values().forEach(tasks -> tasks.forEach(task -> stopping.request(task, reason, nowMs)));
    }

    private void reserveFreeSlots(JobState job) {
        List<WorkerState> fitting = new ArrayList<>();
        for (WorkerState worker : cell.workers()) {
            if (cell.isEligible(worker, job) && worker.free.covers(job.plannedPerTask)) {
                fitting.add(worker);
            }
        }
        fitting.forEach(worker -> cell.reserve(worker, job));
    }

    private List<WorkspaceState> workspacesByDescendingUtilization() {
        List<WorkspaceState> workspaces = new ArrayList<>(cell.workspacesByUtilization());
        Collections.reverse(workspaces);
        return workspaces;
    }
}
