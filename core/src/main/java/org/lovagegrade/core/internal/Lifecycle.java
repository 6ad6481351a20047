package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/** State transitions of jobs and tasks in response to events. */
final class Lifecycle {
    private static final int FAILURES_BEFORE_BACKOFF = 3;
    private static final int MAX_FAILURES = 16;
    private static final long INITIAL_BACKOFF_MS = 1_000;
    private static final int MAX_BACKOFF_SHIFT = 6;
    /** Workers that restart within this time of each other have probably restarted for the same cause. */
    private static final long COMMON_FAULT_MS = 1_000;
    /** How long a job waits for a worker without other jobs; there may never be one. */
    private static final long MAX_ISOLATION_WAIT_MS = 30_000;

    private final Cell cell;
    private final DecisionLog log;
    private final Placement placement;
    private final Stopping stopping;
    private final Feasibility feasibility;
    private final Timers timers;
    private Restart lastRestart;

    /** The restart of a worker. */
    private record Restart(WorkerState worker, long atMs) {}

    Lifecycle(
            Cell cell,
            DecisionLog log,
            Placement placement,
            Stopping stopping,
            Feasibility feasibility,
            Timers timers) {
        this.cell = cell;
        this.log = log;
        this.placement = placement;
        this.stopping = stopping;
        this.feasibility = feasibility;
        this.timers = timers;
    }

    /** Queues a new job, or marks it unschedulable if it can't run. */
    void admit(JobState job, long nowMs) {
        feasibility.planSize(job);
        if (!markUnschedulableIfInfeasible(job)) {
            placement.requeue(job, nowMs);
        }
        removeIfFinished(job);
    }

    void cancel(JobState job, long nowMs) {
        job.cancelled = true;
        job.waitReason = Reason.CANCELLED;
        placement.requeue(job, nowMs);
        cell.unschedulableJobs().remove(job);
        for (TaskState task : job.tasks) {
            stopping.request(task, Reason.CANCELLED, nowMs);
        }
        removeIfFinished(job);
    }

    void taskEnded(TaskState task, long nowMs) {
        Attempt attempt = task.attempt();
        WorkerState worker = task.worker;
        log.aboutAttempt(Action.END, attempt, Reason.COMPLETED);
        cell.release(task);
        task.phase = TaskPhase.ENDED;
        task.job.endedTasks++;
        cell.changeHealth(worker, worker.health::recordSuccess);
        placement.requeue(task.job, nowMs);
        removeIfFinished(task.job);
    }

    void taskFailed(TaskState task, long nowMs) {
        JobState job = task.job;
        WorkerState worker = task.worker;
        String workerId = worker.spec.id();
        log.aboutAttempt(Action.FAIL, task.attempt(), Reason.TASK_FAILED);
        int otherFailedWorkers = job.failedWorkers.size() - (job.failedWorkers.contains(workerId) ? 1 : 0);
        boolean wasSuspect = worker.health.isSuspect();
        cell.release(task);
        cell.changeHealth(worker, () -> worker.health.recordFailure(otherFailedWorkers, nowMs));
        job.recordFailureOn(workerId);
        if (!wasSuspect) {
            backOffAfterFailure(task, nowMs);
        }
        attemptLost(task, nowMs);
    }

    void taskStopped(TaskState task, long nowMs) {
        log.aboutAttempt(Action.END, task.attempt(), Reason.STOPPED);
        boolean stopRequested = task.isStopRequested();
        cell.release(task);
        if (stopRequested) {
            returnToQueue(task, nowMs);
        } else {
            attemptLost(task, nowMs);
        }
    }

    void leaseExpired(TaskState task, long nowMs) {
        log.aboutAttempt(Action.LEASE_EXPIRED, task.attempt(), Reason.WORKER_SILENT);
        cell.release(task);
        attemptLost(task, nowMs);
    }

    void workerRestarted(WorkerState worker, long nowMs) {
        boolean isCommonFault =
                lastRestart != null && lastRestart.worker != worker && nowMs - lastRestart.atMs < COMMON_FAULT_MS;
        Reason reason = isCommonFault ? Reason.WORKERS_RESTARTED : Reason.WORKER_RESTARTED;
        lastRestart = new Restart(worker, nowMs);
        JobState suspect = worker.isolatedFor;
        for (TaskState task : List.copyOf(worker.tasks)) {
            log.aboutAttempt(Action.FAIL, task.attempt(), reason);
            boolean isBlamed = suspect == null || suspect == task.job;
            if (!isCommonFault && isBlamed) {
                task.restarts = task.restarts.plus(nowMs - task.placedAtMs);
            }
            cell.release(task);
            attemptLost(task, nowMs);
            reviewRestarts(task, nowMs);
        }
    }

    /** Isolates the job of a task that may crash its workers, or fails the job. */
    private void reviewRestarts(TaskState task, long nowMs) {
        JobState job = task.job;
        if (job.cancelled || job.failedPermanently) {
            return;
        }
        if (task.restarts.mustBeGivenUp()) {
            failJob(job, Reason.CRASHES_WORKERS, nowMs);
            placement.requeue(job, nowMs);
            removeIfFinished(job);
        } else if (task.restarts.isSuspect()) {
            isolate(job, nowMs);
        }
    }

    /** Keeps a job apart from others for as long as some worker gets free for it in time. */
    void isolate(JobState job, long nowMs) {
        job.isolated = true;
        job.mayShareWorkers = false;
        reserveOwnWorker(job);
        long untilMs = nowMs + MAX_ISOLATION_WAIT_MS;
        job.isolationWaitEndsMs = untilMs;
        timers.at(untilMs, () -> endIsolationWait(job, untilMs));
    }

    private void endIsolationWait(JobState job, long untilMs) {
        boolean isLatestWait = job.isolationWaitEndsMs == untilMs;
        if (isLatestWait) {
            job.mayShareWorkers = true;
            cell.unreserveAll(job);
            placement.requeue(job, untilMs);
        }
    }

    /** Keeps the eligible worker with the fewest tasks free for a job, unless it has one already. */
    private void reserveOwnWorker(JobState job) {
        if (!job.reservedWorkers.isEmpty()) {
            return;
        }
        cell.workers().stream()
                .filter(worker -> worker.isUsable() && worker.reservedFor == null && worker.isolatedFor == null)
                .filter(worker -> worker.spec.capacity().covers(job.plannedPerTask))
                .min(Comparator.<WorkerState>comparingInt(worker -> worker.tasks.size())
                        .thenComparing(WorkerState.BY_ID))
                .ifPresent(worker -> cell.reserve(worker, job));
    }

    void usageReported(TaskState task, Resources used, long nowMs) {
        JobState job = task.job;
        cell.sizeCorrection().observe(job.spec, used);
        Resources allocation = task.allocated.max(used);
        if (allocation.equals(task.allocated)) {
            return;
        }
        cell.adjustAllocation(task, allocation);
        changePlannedSize(job, job.plannedPerTask.max(used), nowMs);
        stopping.resolveOvercommit(task.worker, nowMs);
        stopping.enforceLimit(job.workspace, nowMs);
    }

    /** Returns unschedulable jobs that have become feasible to the queue. */
    void reviewUnschedulable(long nowMs) {
        for (JobState job : new ArrayList<>(cell.unschedulableJobs())) {
            feasibility.planSize(job);
            if (feasibility.infeasibilityReason(job, job.plannedPerTask).isEmpty()) {
                cell.unschedulableJobs().remove(job);
                job.unschedulable = false;
                placement.requeue(job, nowMs);
            }
        }
    }

    /** Marks blocked jobs unschedulable that have become infeasible, such as after a lowered limit. */
    void reviewBlocked(WorkspaceState workspace) {
        for (JobState job : new ArrayList<>(workspace.waitingJobs.blocked())) {
            markUnschedulableIfInfeasible(job);
        }
    }

    private void backOffAfterFailure(TaskState task, long nowMs) {
        task.failures++;
        int backoffFailures = task.failures - FAILURES_BEFORE_BACKOFF;
        if (backoffFailures > 0) {
            // The task has failed on several workers, so the choice of worker no longer matters.
            task.job.excludedWorkers.clear();
            task.job.notBeforeMs = nowMs + (INITIAL_BACKOFF_MS << Math.min(backoffFailures - 1, MAX_BACKOFF_SHIFT));
        }
        if (task.failures >= MAX_FAILURES) {
            failJob(task.job, Reason.FAILED_TOO_OFTEN, nowMs);
        }
    }

    private void failJob(JobState job, Reason reason, long nowMs) {
        job.failedPermanently = true;
        job.waitReason = reason;
        log.aboutJob(Action.FAIL, job, reason);
        for (TaskState other : job.tasks) {
            stopping.request(other, Reason.CANCELLED, nowMs);
        }
    }

    /** Handles an attempt that ended other than by a requested stop; the rest of its gang can't continue without it. */
    private void attemptLost(TaskState task, long nowMs) {
        if (task.job.isGang()) {
            stopRestOfGang(task, nowMs);
        }
        returnToQueue(task, nowMs);
    }

    private void stopRestOfGang(TaskState lost, long nowMs) {
        JobState job = lost.job;
        for (TaskState member : job.tasks) {
            if (member.phase == TaskPhase.ENDED) {
                member.phase = TaskPhase.WAITING;
                job.endedTasks--;
                job.waitingTasks.add(member.index);
            }
        }
        lost.phase = TaskPhase.WAITING;
        stopping.request(lost, Reason.GANG_MEMBER_LOST, nowMs);
    }

    private void returnToQueue(TaskState task, long nowMs) {
        JobState job = task.job;
        task.phase = TaskPhase.WAITING;
        if (job.waitingTasks.isEmpty()) {
            job.waitingSinceMs = nowMs;
        }
        job.waitingTasks.add(task.index);
        if (!markUnschedulableIfInfeasible(job)) {
            placement.requeue(job, nowMs);
        }
        removeIfFinished(job);
    }

    private void changePlannedSize(JobState job, Resources plannedPerTask, long nowMs) {
        boolean wasWaiting = job.wantsPlacement();
        job.workspace.waitingJobs.remove(job);
        job.plannedPerTask = plannedPerTask;
        if (wasWaiting && !markUnschedulableIfInfeasible(job)) {
            placement.requeue(job, nowMs);
        }
    }

    private boolean markUnschedulableIfInfeasible(JobState job) {
        if (job.cancelled || job.failedPermanently || job.waitingTasks.isEmpty()) {
            return false;
        }
        Optional<Reason> infeasibility = feasibility.infeasibilityReason(job, job.plannedPerTask);
        if (infeasibility.isEmpty()) {
            return false;
        }
        job.workspace.waitingJobs.remove(job);
        cell.unreserveAll(job);
        job.waitReason = infeasibility.get();
        if (!job.unschedulable) {
            job.unschedulable = true;
            cell.unschedulableJobs().add(job);
            log.aboutJob(Action.SET_ASIDE, job, infeasibility.get());
        }
        return true;
    }

    private void removeIfFinished(JobState job) {
        if (job.isFinished()) {
            cell.unreserveAll(job);
            cell.removeJob(job);
        }
    }
}
