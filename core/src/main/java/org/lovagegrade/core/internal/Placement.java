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
    private static final int GANGS_TRIED_PER_TEAM = 4;

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
            job.team.waiting.remove(job);
            cell.unreserveAll(job);
            return;
        }
        if (nowMs < job.notBeforeMs) {
            job.team.waiting.remove(job);
            job.waitReason = Reason.BACKING_OFF;
            timers.at(job.notBeforeMs, () -> reconsider(job, job.notBeforeMs));
            return;
        }
        job.team.waiting.open(job);
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
        for (TeamState team : cell.teams()) {
            JobState job = team.waiting.firstOpen();
            if (job != null && (best == null || cell.goesBefore(job, best))) {
                best = job;
            }
        }
        return best;
    }

    private void tryPlace(JobState job, long nowMs) {
        if (!cell.hasTeamRoom(job)) {
            park(job, Reason.TEAM_AT_LIMIT);
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
        job.team.waiting.park(job);
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
            job.team.waiting.remove(job);
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
        job.team.waiting.remove(job);
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
        for (TeamState team : cell.teams()) {
            if (!team.headroomRose) {
                continue;
            }
            team.headroomRose = false;
            gangTryDue = true;
            JobState job = firstAtLimit(team);
            while (job != null) {
                tryPlace(job, nowMs);
                job = firstAtLimit(team);
            }
        }
    }

    private static JobState firstAtLimit(TeamState team) {
        return team.waiting.firstParkedWithin(
                team.spec.limits().headroom(team.used), job -> job.waitReason == Reason.TEAM_AT_LIMIT);
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

    /** Looks no further than the first team that has a job for the worker. */
    private JobState firstByShare(WorkerState worker) {
        List<TeamState> teams = cell.teamsByUse();
        for (TeamState team : teams) {
            JobState urgent = team.waiting.hasParkedUrgent() ? firstOfTeam(team, worker, JobState::isUrgent) : null;
            if (urgent != null) {
                return urgent;
            }
        }
        for (TeamState team : teams) {
            JobState job = team.waiting.isEmpty() ? null : firstOfTeam(team, worker, _job -> true);
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    private JobState firstOfAll(WorkerState worker) {
        JobState best = null;
        for (TeamState team : cell.teams()) {
            JobState job = team.waiting.isEmpty() ? null : firstOfTeam(team, worker, _job -> true);
            if (job != null && (best == null || cell.goesBefore(job, best))) {
                best = job;
            }
        }
        return best;
    }

    private JobState firstOfTeam(TeamState team, WorkerState worker, Predicate<JobState> wanted) {
        return team.waiting.firstParkedWithin(
                worker.free, job -> wanted.test(job) && cell.mayTake(worker, job) && cell.hasTeamRoom(job));
    }

    private JobState holderIfFits(WorkerState worker) {
        JobState holder = worker.reservedFor;
        boolean fits = !holder.isGang()
                && holder.wantsPlacement()
                && cell.mayTake(worker, holder)
                && worker.free.covers(holder.planned)
                && cell.hasTeamRoom(holder);
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
        for (TeamState team : cell.teams()) {
            JobState job = team.waiting.firstParkedWithin(
                    worker.free, parked -> !parked.isUrgent() && !parked.isService() && cell.hasTeamRoom(parked));
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    private void retryGangs(long nowMs) {
        gangTryDue |= cell.takeFreeRose();
        boolean all = gangTryDue && nowMs >= nextGangTryMs;
        for (TeamState team : cell.teams()) {
            int tried = 0;
            for (JobState gang : new ArrayList<>(team.waiting.parkedGangs())) {
                boolean mayFit = cell.free().covers(gang.neededAtOnce()) && cell.hasTeamRoom(gang);
                if (mayFit && (all || !gang.reserved.isEmpty())) {
                    tryPlaceGang(gang, nowMs);
                }
                if (++tried >= GANGS_TRIED_PER_TEAM) {
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
