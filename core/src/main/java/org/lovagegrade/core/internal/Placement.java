package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.lease.LeaseLength;

/** Places waiting tasks on workers while there is room. */
final class Placement {
    private static final long GANG_RETRY_MS = 100;
    private static final int GANGS_TRIED_PER_WORKSPACE = 4;

    private final Cell cell;
    private final DecisionLog log;
    private final Timers timers;
    private long nextGangTryMs;
    private boolean gangTryDue;

    Placement(Cell cell, DecisionLog log, Timers timers) {
        this.cell = cell;
        this.log = log;
        this.timers = timers;
    }

    void run(long nowMs) {
        placeOpenJobs(nowMs);
        placeWithinRaisedLimits(nowMs);
        placeWhereRoomAppeared(nowMs);
        probeSuspects(nowMs);
        retryGangs(nowMs);
    }

    /** Lets a job wait for placement, or takes it out if it has nothing to place. */
    void reconsider(JobState job, long nowMs) {
        if (!job.wantsPlacement()) {
            job.workspace.waiting.remove(job);
            cell.unreserveAll(job);
            return;
        }
        if (nowMs < job.notBeforeMs) {
            job.workspace.waiting.remove(job);
            job.waitReason = Reason.BACKING_OFF;
            timers.at(job.notBeforeMs, () -> reconsider(job, job.notBeforeMs));
            return;
        }
        job.workspace.waiting.open(job);
    }

    private void placeOpenJobs(long nowMs) {
        JobState job = firstOpen();
        while (job != null) {
            tryPlace(job, nowMs);
            job = firstOpen();
        }
    }

    private JobState firstOpen() {
        JobState best = null;
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = workspace.waiting.firstOpen();
            if (job != null && (best == null || cell.goesBefore(job, best))) {
                best = job;
            }
        }
        return best;
    }

    private void tryPlace(JobState job, long nowMs) {
        if (!cell.hasWorkspaceRoom(job)) {
            park(job, Reason.WORKSPACE_AT_LIMIT);
            return;
        }
        if (job.isGang()) {
            tryPlaceGang(job, nowMs);
            return;
        }
        WorkerState worker = cell.rules().search().find(cell, job);
        if (worker == null) {
            park(job, Reason.NO_ROOM);
            return;
        }
        placeOne(job, worker, Reason.FITS, nowMs);
    }

    private void park(JobState job, Reason reason) {
        job.waitReason = reason;
        job.workspace.waiting.park(job);
        if (job.isGang()) {
            gangTryDue = true;
        }
    }

    private void placeOne(JobState job, WorkerState worker, Reason reason, long nowMs) {
        hold(job.tasks[job.waiting.first()], worker, reason, nowMs);
        if (worker.reservedFor == job) {
            cell.unreserve(worker);
        }
        if (job.waiting.isEmpty()) {
            job.workspace.waiting.remove(job);
            cell.unreserveAll(job);
            job.waitReason = Reason.NOT_WAITING;
        }
    }

    private boolean tryPlaceGang(JobState job, long nowMs) {
        Optional<List<WorkerState>> workers = GangSearch.find(cell, job);
        if (workers.isEmpty()) {
            park(job, Reason.NO_ROOM);
            return false;
        }
        for (int i = 0; i < job.tasks.length; i++) {
            hold(job.tasks[i], workers.get().get(i), Reason.GANG_FITS, nowMs);
        }
        job.workspace.waiting.remove(job);
        cell.unreserveAll(job);
        job.waitReason = Reason.NOT_WAITING;
        return true;
    }

    private void hold(TaskState task, WorkerState worker, Reason reason, long nowMs) {
        task.attemptNumber++;
        cell.hold(task, worker, task.job.planned, nowMs);
        long leaseMs = LeaseLength.fromRecoveryTarget(task.job.workClass.recoveryTargetMs());
        log.placed(task.attempt(), reason, leaseMs);
    }

    private void placeWithinRaisedLimits(long nowMs) {
        for (WorkspaceState workspace : cell.workspaces()) {
            if (!workspace.headroomRose) {
                continue;
            }
            workspace.headroomRose = false;
            gangTryDue = true;
            JobState job = firstAtLimit(workspace);
            while (job != null) {
                tryPlace(job, nowMs);
                job = firstAtLimit(workspace);
            }
        }
    }

    private static JobState firstAtLimit(WorkspaceState workspace) {
        return workspace.waiting.firstParkedWithin(
                workspace.spec.limits().headroom(workspace.used), job -> job.waitReason == Reason.WORKSPACE_AT_LIMIT);
    }

    private void placeWhereRoomAppeared(long nowMs) {
        gangTryDue |= cell.takeFreeRose();
        while (!cell.roomier().isEmpty()) {
            WorkerState worker = cell.roomier().first();
            JobState job = worker.isUsable() ? firstParkedFor(worker) : null;
            if (job == null) {
                cell.roomier().remove(worker);
            } else {
                placeOne(job, worker, Reason.FITS, nowMs);
            }
        }
    }

    private JobState firstParkedFor(WorkerState worker) {
        JobState holder = worker.reservedFor == null ? null : holderIfFits(worker);
        if (holder != null) {
            return holder;
        }
        return cell.rules().sharesFirst() ? firstByShare(worker) : firstOfAll(worker);
    }

    /** Looks no further than the first workspace that has a job for the worker. */
    private JobState firstByShare(WorkerState worker) {
        List<WorkspaceState> workspaces = cell.workspacesByUse();
        for (WorkspaceState workspace : workspaces) {
            JobState urgent = workspace.waiting.hasParkedUrgent()
                    ? firstOfWorkspace(workspace, worker, JobState::isUrgent)
                    : null;
            if (urgent != null) {
                return urgent;
            }
        }
        for (WorkspaceState workspace : workspaces) {
            JobState job = workspace.waiting.isEmpty() ? null : firstOfWorkspace(workspace, worker, _job -> true);
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    private JobState firstOfAll(WorkerState worker) {
        JobState best = null;
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = workspace.waiting.isEmpty() ? null : firstOfWorkspace(workspace, worker, _job -> true);
            if (job != null && (best == null || cell.goesBefore(job, best))) {
                best = job;
            }
        }
        return best;
    }

    private JobState firstOfWorkspace(WorkspaceState workspace, WorkerState worker, Predicate<JobState> wanted) {
        return workspace.waiting.firstParkedWithin(
                worker.free, job -> wanted.test(job) && cell.mayTake(worker, job) && cell.hasWorkspaceRoom(job));
    }

    private JobState holderIfFits(WorkerState worker) {
        JobState holder = worker.reservedFor;
        boolean fits = !holder.isGang()
                && holder.wantsPlacement()
                && cell.mayTake(worker, holder)
                && worker.free.covers(holder.planned)
                && cell.hasWorkspaceRoom(holder);
        return fits ? holder : null;
    }

    private void probeSuspects(long nowMs) {
        for (WorkerState worker : List.copyOf(cell.suspects())) {
            if (worker.silent || worker.leaving || !worker.health.isSuspect()) {
                continue;
            }
            if (worker.health.awaitsProbe(nowMs)) {
                timers.wakeAt(worker.health.nextProbeMs());
            }
            JobState job = worker.health.mayProbe(nowMs) ? firstProbeFor(worker) : null;
            if (job != null) {
                worker.health.probeStarted();
                TaskState task = job.tasks[job.waiting.first()];
                placeOne(job, worker, Reason.PROBE, nowMs);
                task.probe = true;
            }
        }
    }

    private JobState firstProbeFor(WorkerState worker) {
        for (WorkspaceState workspace : cell.workspaces()) {
            JobState job = workspace.waiting.firstParkedWithin(
                    worker.free, parked -> !parked.isUrgent() && !parked.isService() && cell.hasWorkspaceRoom(parked));
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    private void retryGangs(long nowMs) {
        gangTryDue |= cell.takeFreeRose();
        boolean all = gangTryDue && nowMs >= nextGangTryMs;
        for (WorkspaceState workspace : cell.workspaces()) {
            int tried = 0;
            for (JobState gang : new ArrayList<>(workspace.waiting.parkedGangs())) {
                boolean mayFit = cell.free().covers(gang.neededAtOnce()) && cell.hasWorkspaceRoom(gang);
                if (mayFit && (all || !gang.reserved.isEmpty())) {
                    tryPlaceGang(gang, nowMs);
                }
                if (++tried >= GANGS_TRIED_PER_WORKSPACE) {
                    break;
                }
            }
        }
        if (all) {
            gangTryDue = false;
            nextGangTryMs = nowMs + GANG_RETRY_MS;
        } else if (gangTryDue) {
            timers.wakeAt(nextGangTryMs);
        }
    }
}
