package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** Makes room for urgent work and for workspaces below their shares, by stopping the cheapest work that may give way. */
final class Preemption {
    private static final long URGENT_TRIGGER_DIVISOR = 4;
    private static final long SHARE_TRIGGER_DIVISOR = 20;
    private static final long RETRY_MS = 500;
    private static final long RESERVED_MS = 15_000;
    private static final int JOBS_SEEN_PER_WORKSPACE = 32;
    private static final int PLANS_PER_DECISION = 32;
    private static final int VICTIMS_SEEN_PER_SLOT = 128;
    private static final long SOON_MS = 5;

    private final Cell cell;
    private final Stopping stopping;
    private final Timers timers;
    private int plansLeft;

    Preemption(Cell cell, Stopping stopping, Timers timers) {
        this.cell = cell;
        this.stopping = stopping;
        this.timers = timers;
    }

    /** Whether a task may give way, given what its workspace has given up already. */
    @FunctionalInterface
    private interface VictimTest {
        boolean mayGiveWay(TaskState victim, Resources givenUp);
    }

    void run(long nowMs) {
        plansLeft = PLANS_PER_DECISION;
        for (WorkspaceState workspace : List.copyOf(cell.workspacesByUse())) {
            boolean isBelowShare = workspace.sortKey < 1;
            if (workspace.waiting.hasParkedForRoom() && (isBelowShare || workspace.waiting.hasParkedUrgent())) {
                considerFirstJobs(workspace, nowMs);
            }
        }
    }

    private void considerFirstJobs(WorkspaceState workspace, long nowMs) {
        int seen = 0;
        for (JobState job : workspace.waiting.parked()) {
            consider(job, nowMs);
            if (++seen >= JOBS_SEEN_PER_WORKSPACE) {
                return;
            }
        }
    }

    private void consider(JobState job, long nowMs) {
        if (job.waitReason != Reason.NO_ROOM || !cell.hasWorkspaceRoom(job)) {
            return;
        }
        if (job.isUrgent()) {
            long targetMs = job.workClass.waitTargetMs().getAsLong();
            considerAfter(job, job.waitingSinceMs + targetMs / URGENT_TRIGGER_DIVISOR, nowMs, Reason.URGENT_WORK_WAITS);
        } else if (job.workClass.shareTargetMs().isPresent() && isBelowShare(job)) {
            long targetMs = job.workClass.shareTargetMs().getAsLong();
            considerAfter(job, job.waitingSinceMs + targetMs / SHARE_TRIGGER_DIVISOR, nowMs, Reason.RESTORES_SHARE);
        }
    }

    private boolean isBelowShare(JobState job) {
        Resources after = job.workspace.used.plus(job.neededAtOnce());
        return job.workspace.useOfShare(after, cell.responsiveCapacity()) <= 1;
    }

    private void considerAfter(JobState job, long triggerMs, long nowMs, Reason reason) {
        long dueMs = Math.max(triggerMs, job.nextPreemptionMs);
        if (nowMs < dueMs) {
            timers.wakeAt(dueMs);
            return;
        }
        if (!job.reserved.isEmpty() && nowMs < job.reservedUntilMs) {
            return;
        }
        if (plansLeft-- <= 0) {
            timers.wakeAt(nowMs + SOON_MS);
            return;
        }
        if (makeRoom(job, reason, nowMs)) {
            job.nextPreemptionMs = nowMs + SOON_MS;
        } else {
            job.nextPreemptionMs = nowMs + RETRY_MS;
            timers.wakeAt(job.nextPreemptionMs);
        }
    }

    private boolean makeRoom(JobState job, Reason reason, long nowMs) {
        for (VictimTest test : testsFor(job, reason)) {
            Map<WorkerState, List<TaskState>> plan = plan(job, test);
            if (plan != null && !plan.isEmpty()) {
                carryOut(plan, job, reason, nowMs);
                return true;
            }
        }
        return false;
    }

    private List<VictimTest> testsFor(JobState job, Reason reason) {
        VictimTest overShare = (victim, givenUp) ->
                !victim.job.isUrgent() && victim.job.workspace != job.workspace && staysAtShare(victim, givenUp);
        if (reason == Reason.RESTORES_SHARE) {
            return List.of(overShare);
        }
        VictimTest sameWorkspace =
                (victim, _givenUp) -> !victim.job.isUrgent() && victim.job.workspace == job.workspace;
        VictimTest anyNotUrgent = (victim, _givenUp) -> !victim.job.isUrgent();
        return List.of(overShare, sameWorkspace, anyNotUrgent);
    }

    private boolean staysAtShare(TaskState victim, Resources givenUp) {
        WorkspaceState workspace = victim.job.workspace;
        Resources loss = victim.job.isGang() ? victim.held.times(victim.job.placedTasks) : victim.held;
        Resources after =
                workspace.used.minus(workspace.stopping).minus(givenUp).minus(loss);
        return workspace.useOfShare(after, cell.responsiveCapacity()) >= 1;
    }

    /** The victims by worker that make the room needed, or null. */
    private Map<WorkerState, List<TaskState>> plan(JobState job, VictimTest test) {
        long missing = job.tasksPerPlacement() - (job.isGang() ? freeSlots(job) : 0);
        long victimsLeft = VICTIMS_SEEN_PER_SLOT * Math.max(1, missing);
        IdentityHashMap<WorkspaceState, Resources> givenUp = new IdentityHashMap<>();
        Map<WorkerState, List<TaskState>> victims = new TreeMap<>(WorkerState.BY_ID);
        IdentityHashMap<WorkerState, Resources> room = new IdentityHashMap<>();
        for (WorkspaceState workspace : mostUseFirst()) {
            for (TaskState victim : workspace.running) {
                if (victimsLeft-- <= 0) {
                    return null;
                }
                WorkerState worker = victim.worker;
                Resources given = givenUp.getOrDefault(workspace, Resources.NONE);
                if (!cell.mayTake(worker, job) || !test.mayGiveWay(victim, given)) {
                    continue;
                }
                Resources before = room.getOrDefault(worker, worker.free);
                Resources after = before.plus(victim.held);
                missing -= after.timesCovering(job.planned) - before.timesCovering(job.planned);
                givenUp.put(workspace, given.plus(victim.held));
                room.put(worker, after);
                victims.computeIfAbsent(worker, _unused -> new ArrayList<>()).add(victim);
                if (missing <= 0) {
                    return withoutUseless(victims, job);
                }
            }
        }
        return null;
    }

    private static Map<WorkerState, List<TaskState>> withoutUseless(
            Map<WorkerState, List<TaskState>> victims, JobState job) {
        Map<WorkerState, List<TaskState>> useful = new TreeMap<>(WorkerState.BY_ID);
        victims.forEach((worker, tasks) -> {
            List<TaskState> kept = leastThatHelps(worker, tasks, job);
            if (!kept.isEmpty()) {
                useful.put(worker, kept);
            }
        });
        return useful;
    }

    /** Drops victims, the first found last, as long as the worker still gains as many slots. */
    private static List<TaskState> leastThatHelps(WorkerState worker, List<TaskState> tasks, JobState job) {
        Resources room = worker.free;
        for (TaskState task : tasks) {
            room = room.plus(task.held);
        }
        long slots = room.timesCovering(job.planned);
        List<TaskState> kept = new ArrayList<>(tasks);
        for (int i = tasks.size() - 1; i >= 0; i--) {
            Resources without = room.minus(tasks.get(i).held);
            if (without.timesCovering(job.planned) >= slots) {
                room = without;
                kept.remove(i);
            }
        }
        return slots > worker.free.timesCovering(job.planned) ? kept : List.of();
    }

    private long freeSlots(JobState job) {
        long slots = 0;
        for (WorkerState worker : cell.workers()) {
            if (cell.mayTake(worker, job)) {
                slots += worker.free.timesCovering(job.planned);
            }
        }
        return slots;
    }

    private void carryOut(Map<WorkerState, List<TaskState>> plan, JobState job, Reason reason, long nowMs) {
        if (job.isGang()) {
            reserveFreeSlots(job);
        }
        plan.keySet().forEach(worker -> cell.reserve(worker, job));
        job.reservedUntilMs = nowMs + RESERVED_MS;
        timers.at(job.reservedUntilMs, () -> {
            if (job.reservedUntilMs <= nowMs + RESERVED_MS) {
                cell.unreserveAll(job);
            }
        });
        plan.values().forEach(tasks -> tasks.forEach(task -> stopping.request(task, reason, nowMs)));
    }

    private void reserveFreeSlots(JobState job) {
        List<WorkerState> fitting = new ArrayList<>();
        for (WorkerState worker : cell.workers()) {
            if (cell.mayTake(worker, job) && worker.free.covers(job.planned)) {
                fitting.add(worker);
            }
        }
        fitting.forEach(worker -> cell.reserve(worker, job));
    }

    private List<WorkspaceState> mostUseFirst() {
        List<WorkspaceState> workspaces = new ArrayList<>(cell.workspacesByUse());
        Collections.reverse(workspaces);
        return workspaces;
    }
}
