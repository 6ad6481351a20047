package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.lease.LeaseLength;

/** Places waiting tasks on workers as long as capacity is free. */
final class Placement {
    private static final long GANG_RETRY_INTERVAL_MS = 100;
    private static final int MAX_GANGS_TRIED_PER_WORKSPACE = 4;

    private final Cell cell;
    private final DecisionLog log;
    private final Timers timers;
    private long nextGangRetryMs;
    private boolean gangRetryDue;

    Placement(Cell cell, DecisionLog log, Timers timers) {
        this.cell = cell;
        this.log = log;
        this.timers = timers;
    }

    void run(long nowMs) {
        placeReadyJobs(nowMs);
        placeWithinIncreasedHeadroom(nowMs);
        placeOnFreedCapacity(nowMs);
        probeSuspects(nowMs);
        retryGangs(nowMs);
    }

    /** Queues a job for placement, delays it during backoff, or removes it if it has nothing to place. */
    void requeue(JobState job, long nowMs) {
        if (!job.wantsPlacement()) {
            job.workspace.waitingJobs.remove(job);
            cell.unreserveAll(job);
            return;
        }
        if (nowMs < job.notBeforeMs) {
            job.workspace.waitingJobs.remove(job);
            job.waitReason = Reason.BACKING_OFF;
            timers.at(job.notBeforeMs, () -> requeue(job, job.notBeforeMs));
            return;
        }
        job.workspace.waitingJobs.addReady(job);
    }

    private void placeReadyJobs(long nowMs) {
        JobState job = firstReady();
        while (job != null) {
            tryPlace(job, nowMs);
            job = firstReady();
        }
    }

    private JobState firstReady() {
        JobState best = null;
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = workspace.waitingJobs.firstReady();
            if (job != null && (best == null || cell.precedes(job, best))) {
                best = job;
            }
        }
        return best;
    }

    private void tryPlace(JobState job, long nowMs) {
        if (!cell.fitsWorkspaceLimits(job)) {
            block(job, Reason.WORKSPACE_AT_LIMIT);
            return;
        }
        if (job.isGang()) {
            tryPlaceGang(job, nowMs);
            return;
        }
        WorkerState worker = cell.rules().search().find(cell, job);
        if (worker == null) {
            block(job, Reason.NO_ROOM);
            return;
        }
        placeOne(job, worker, Reason.FITS, nowMs);
    }

    private void block(JobState job, Reason reason) {
        job.waitReason = reason;
        job.workspace.waitingJobs.addBlocked(job);
        if (job.isGang()) {
            gangRetryDue = true;
        }
    }

    private void placeOne(JobState job, WorkerState worker, Reason reason, long nowMs) {
        allocate(job.tasks[job.waitingTasks.first()], worker, reason, nowMs);
        if (worker.reservedFor == job) {
            cell.unreserve(worker);
        }
        if (job.waitingTasks.isEmpty()) {
            job.workspace.waitingJobs.remove(job);
            cell.unreserveAll(job);
            job.waitReason = Reason.NOT_WAITING;
        }
    }

    private boolean tryPlaceGang(JobState job, long nowMs) {
        Optional<List<WorkerState>> workers = GangSearch.find(cell, job);
        if (workers.isEmpty()) {
            block(job, Reason.NO_ROOM);
            return false;
        }
        for (int i = 0; i < job.tasks.length; i++) {
            allocate(job.tasks[i], workers.get().get(i), Reason.GANG_FITS, nowMs);
        }
        job.workspace.waitingJobs.remove(job);
        cell.unreserveAll(job);
        job.waitReason = Reason.NOT_WAITING;
        return true;
    }

    private void allocate(TaskState task, WorkerState worker, Reason reason, long nowMs) {
        task.attemptNumber++;
        cell.allocate(task, worker, task.job.plannedPerTask, nowMs);
        long leaseMs = LeaseLength.fromRecoveryTarget(task.job.workClass.recoveryTargetMs());
        log.attemptPlaced(task.attempt(), reason, leaseMs);
    }

    private void placeWithinIncreasedHeadroom(long nowMs) {
        for (WorkspaceState workspace : cell.workspaces()) {
            if (!workspace.headroomIncreased) {
                continue;
            }
            workspace.headroomIncreased = false;
            gangRetryDue = true;
            JobState job = firstBlockedByLimit(workspace);
            while (job != null) {
                tryPlace(job, nowMs);
                job = firstBlockedByLimit(workspace);
            }
        }
    }

    private static JobState firstBlockedByLimit(WorkspaceState workspace) {
        return workspace.waitingJobs.firstBlockedWithin(
                workspace.spec.limits().headroom(workspace.used), job -> job.waitReason == Reason.WORKSPACE_AT_LIMIT);
    }

    private void placeOnFreedCapacity(long nowMs) {
        gangRetryDue |= cell.getAndClearCapacityFreed();
        while (!cell.workersWithNewCapacity().isEmpty()) {
            WorkerState worker = cell.workersWithNewCapacity().first();
            JobState job = worker.isUsable() ? firstBlockedFor(worker) : null;
            if (job == null) {
                cell.workersWithNewCapacity().remove(worker);
            } else {
                placeOne(job, worker, Reason.FITS, nowMs);
            }
        }
    }

    private JobState firstBlockedFor(WorkerState worker) {
        JobState holder = worker.reservedFor == null ? null : holderIfFits(worker);
        if (holder != null) {
            return holder;
        }
        return cell.rules().strictShareOrder() ? firstByShare(worker) : firstOverall(worker);
    }

    /**
     * The first job that fits: urgent jobs first, then in order of the workspaces' share utilization. The search ends
     * at the first workspace that has such a job.
     */
    private JobState firstByShare(WorkerState worker) {
        List<WorkspaceState> workspaces = cell.workspacesByUtilization();
        for (WorkspaceState workspace : workspaces) {
            JobState urgent = workspace.waitingJobs.hasBlockedUrgent()
                    ? firstOfWorkspace(workspace, worker, JobState::isUrgent)
                    : null;
            if (urgent != null) {
                return urgent;
            }
        }
        for (WorkspaceState workspace : workspaces) {
            JobState job = workspace.waitingJobs.isEmpty() ? null : firstOfWorkspace(workspace, worker, _job -> true);
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    private JobState firstOverall(WorkerState worker) {
        JobState best = null;
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = workspace.waitingJobs.isEmpty() ? null : firstOfWorkspace(workspace, worker, _job -> true);
            if (job != null && (best == null || cell.precedes(job, best))) {
                best = job;
            }
        }
        return best;
    }

    private JobState firstOfWorkspace(WorkspaceState workspace, WorkerState worker, Predicate<JobState> filter) {
        return workspace.waitingJobs.firstBlockedWithin(
                worker.free, job -> filter.test(job) && cell.isEligible(worker, job) && cell.fitsWorkspaceLimits(job));
    }

    /** The job that the worker is reserved for, or null if it is a gang or does not fit. */
    private JobState holderIfFits(WorkerState worker) {
        JobState holder = worker.reservedFor;
        boolean fits = !holder.isGang()
                && holder.wantsPlacement()
                && cell.isEligible(worker, holder)
                && worker.free.covers(holder.plannedPerTask)
                && cell.fitsWorkspaceLimits(holder);
        return fits ? holder : null;
    }

    /** Places single tasks as probes on suspect workers whose probe delay has passed. */
    private void probeSuspects(long nowMs) {
        for (WorkerState worker : List.copyOf(cell.suspects())) {
            if (!worker.acceptsProbes() || !worker.health.isSuspect()) {
                continue;
            }
            if (worker.health.awaitsProbe(nowMs)) {
                timers.wakeAt(worker.health.nextProbeMs());
            }
            JobState job = worker.health.mayProbe(nowMs) ? firstProbeJobFor(worker) : null;
            if (job != null) {
                worker.health.probeStarted();
                TaskState task = job.tasks[job.waitingTasks.first()];
                placeOne(job, worker, Reason.PROBE, nowMs);
                task.probe = true;
            }
        }
    }

    private JobState firstProbeJobFor(WorkerState worker) {
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = workspace.waitingJobs.firstBlockedWithin(
                    worker.free,
                    candidate -> !candidate.isUrgent()
                            && !candidate.isService()
                            && !worker.isClosedTo(candidate)
                            && cell.fitsWorkspaceLimits(candidate));
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    /**
     * Retries blocked gangs that may fit. Gangs without reservations are retried only after a change that may let them
     * fit, at most once per {@link #GANG_RETRY_INTERVAL_MS}.
     */
    private void retryGangs(long nowMs) {
        gangRetryDue |= cell.getAndClearCapacityFreed();
        boolean retryAll = gangRetryDue && nowMs >= nextGangRetryMs;
        for (WorkspaceState workspace : cell.workspaces()) {
            int tried = 0;
            for (JobState gang : new ArrayList<>(workspace.waitingJobs.blockedGangs())) {
                boolean mayFit =
                        cell.freeCapacity().covers(gang.neededPerPlacement()) && cell.fitsWorkspaceLimits(gang);
                if (mayFit && (retryAll || !gang.reservedWorkers.isEmpty())) {
                    tryPlaceGang(gang, nowMs);
                }
                if (++tried >= MAX_GANGS_TRIED_PER_WORKSPACE) {
                    break;
                }
            }
        }
        if (retryAll) {
            gangRetryDue = false;
            nextGangRetryMs = nowMs + GANG_RETRY_INTERVAL_MS;
        } else if (gangRetryDue) {
            timers.wakeAt(nextGangRetryMs);
        }
    }
}
