package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** Moves jobs and tasks through their lives as reports come in. */
final class Lifecycle {
    private static final int FAILURES_WITHOUT_PAUSE = 3;
    private static final int FAILURES_TO_GIVE_UP = 16;
    private static final long FIRST_PAUSE_MS = 1_000;
    private static final int LONGEST_PAUSE_SHIFT = 6;

    private final Cell cell;
    private final DecisionLog log;
    private final Placement placement;
    private final Stopping stopping;
    private final Feasibility feasibility;

    Lifecycle(Cell cell, DecisionLog log, Placement placement, Stopping stopping, Feasibility feasibility) {
        this.cell = cell;
        this.log = log;
        this.placement = placement;
        this.stopping = stopping;
        this.feasibility = feasibility;
    }

    /** Lets a new job wait, or sets it aside if it can't run. */
    void admit(JobState job, long nowMs) {
        feasibility.plan(job);
        if (!setAsideIfImpossible(job)) {
            placement.reconsider(job, nowMs);
        }
        forgetIfOver(job);
    }

    void cancel(JobState job, long nowMs) {
        job.cancelled = true;
        job.waitReason = Reason.CANCELLED;
        placement.reconsider(job, nowMs);
        cell.setAside().remove(job);
        for (TaskState task : job.tasks) {
            stopping.request(task, Reason.CANCELLED, nowMs);
        }
        forgetIfOver(job);
    }

    void ended(TaskState task, long nowMs) {
        Attempt attempt = task.attempt();
        WorkerState worker = task.worker;
        log.aboutAttempt(Action.END, attempt, Reason.COMPLETED);
        cell.release(task);
        task.phase = TaskPhase.ENDED;
        task.job.endedTasks++;
        cell.changeHealth(worker, worker.health::succeeded);
        placement.reconsider(task.job, nowMs);
        forgetIfOver(task.job);
    }

    void failed(TaskState task, long nowMs) {
        JobState job = task.job;
        WorkerState worker = task.worker;
        String workerId = worker.spec.id();
        log.aboutAttempt(Action.FAIL, task.attempt(), Reason.TASK_FAILED);
        int otherWorkers = job.failedOn.size() - (job.failedOn.contains(workerId) ? 1 : 0);
        boolean wasSuspect = worker.health.isSuspect();
        cell.release(task);
        cell.changeHealth(worker, () -> worker.health.failed(otherWorkers, nowMs));
        job.rememberFailureOn(workerId);
        if (!wasSuspect) {
            pauseAfterFailure(task, nowMs);
        }
        lost(task, nowMs);
    }

    void stopped(TaskState task, long nowMs) {
        log.aboutAttempt(Action.END, task.attempt(), Reason.STOPPED);
        boolean asked = task.isStopRequested();
        cell.release(task);
        if (asked) {
            backToWaiting(task, nowMs);
        } else {
            lost(task, nowMs);
        }
    }

    void leaseExpired(TaskState task, long nowMs) {
        log.aboutAttempt(Action.LEASE_EXPIRED, task.attempt(), Reason.WORKER_SILENT);
        cell.release(task);
        lost(task, nowMs);
    }

    void workerRestarted(WorkerState worker, long nowMs) {
        for (TaskState task : List.copyOf(worker.tasks)) {
            log.aboutAttempt(Action.FAIL, task.attempt(), Reason.WORKER_RESTARTED);
            cell.release(task);
            lost(task, nowMs);
        }
    }

    void usageReported(TaskState task, Resources used, long nowMs) {
        JobState job = task.job;
        cell.sizes().observe(job.spec, used);
        Resources amount = task.held.max(used);
        if (amount.equals(task.held)) {
            return;
        }
        cell.correctHeld(task, amount);
        replan(job, job.planned.max(used), nowMs);
        stopping.relieve(task.worker, nowMs);
        stopping.enforceLimit(job.workspace, nowMs);
    }

    /** Lets jobs return that can run after all. */
    void reviewSetAside(long nowMs) {
        for (JobState job : new ArrayList<>(cell.setAside())) {
            feasibility.plan(job);
            if (feasibility.obstacle(job, job.planned).isEmpty()) {
                cell.setAside().remove(job);
                job.setAside = false;
                placement.reconsider(job, nowMs);
            }
        }
    }

    /** Sets jobs aside that a lowered limit keeps from ever running. */
    void reviewWaiting(WorkspaceState workspace) {
        for (JobState job : new ArrayList<>(workspace.waiting.parked())) {
            setAsideIfImpossible(job);
        }
    }

    private void pauseAfterFailure(TaskState task, long nowMs) {
        task.failures++;
        int counted = task.failures - FAILURES_WITHOUT_PAUSE;
        if (counted > 0) {
            // It failed on several workers; where it runs next does not matter any more.
            task.job.avoided.clear();
            task.job.notBeforeMs = nowMs + (FIRST_PAUSE_MS << Math.min(counted - 1, LONGEST_PAUSE_SHIFT));
        }
        if (task.failures >= FAILURES_TO_GIVE_UP) {
            giveUp(task.job, nowMs);
        }
    }

    private void giveUp(JobState job, long nowMs) {
        job.failedForGood = true;
        job.waitReason = Reason.FAILED_TOO_OFTEN;
        log.aboutJob(Action.FAIL, job, Reason.FAILED_TOO_OFTEN);
        for (TaskState other : job.tasks) {
            stopping.request(other, Reason.CANCELLED, nowMs);
        }
    }

    /** A task ran no more without being asked to; its gang can't go on without it. */
    private void lost(TaskState task, long nowMs) {
        if (task.job.isGang()) {
            stopRestOfGang(task, nowMs);
        }
        backToWaiting(task, nowMs);
    }

    private void stopRestOfGang(TaskState lost, long nowMs) {
        JobState job = lost.job;
        for (TaskState member : job.tasks) {
            if (member.phase == TaskPhase.ENDED) {
                member.phase = TaskPhase.WAITING;
                job.endedTasks--;
                job.waiting.add(member.index);
            }
        }
        lost.phase = TaskPhase.WAITING;
        stopping.request(lost, Reason.GANG_MEMBER_LOST, nowMs);
    }

    private void backToWaiting(TaskState task, long nowMs) {
        JobState job = task.job;
        task.phase = TaskPhase.WAITING;
        if (job.waiting.isEmpty()) {
            job.waitingSinceMs = nowMs;
        }
        job.waiting.add(task.index);
        if (!setAsideIfImpossible(job)) {
            placement.reconsider(job, nowMs);
        }
        forgetIfOver(job);
    }

    private void replan(JobState job, Resources planned, long nowMs) {
        boolean wasWaiting = job.wantsPlacement();
        job.workspace.waiting.remove(job);
        job.planned = planned;
        if (wasWaiting && !setAsideIfImpossible(job)) {
            placement.reconsider(job, nowMs);
        }
    }

    private boolean setAsideIfImpossible(JobState job) {
        if (job.cancelled || job.failedForGood || job.waiting.isEmpty()) {
            return false;
        }
        Optional<Reason> obstacle = feasibility.obstacle(job, job.planned);
        if (obstacle.isEmpty()) {
            return false;
        }
        job.workspace.waiting.remove(job);
        cell.unreserveAll(job);
        job.waitReason = obstacle.get();
        if (!job.setAside) {
            job.setAside = true;
            cell.setAside().add(job);
            log.aboutJob(Action.SET_ASIDE, job, obstacle.get());
        }
        return true;
    }

    private void forgetIfOver(JobState job) {
        if (job.isOver()) {
            cell.unreserveAll(job);
            cell.forgetJob(job);
        }
    }
}
