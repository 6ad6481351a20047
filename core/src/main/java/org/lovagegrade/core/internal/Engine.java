package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiPredicate;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Event;
import org.lovagegrade.core.Explanation;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;

/** Deterministic scheduling engine: the same events at the same times produce the same decisions. */
public final class Engine {
    private final DecisionLog log = new DecisionLog();
    private final Timers timers = new Timers();
    private final Cell cell;
    private final Feasibility feasibility;
    private final Placement placement;
    private final Stopping stopping;
    private final Preemption preemption;
    private final Reservation reservation;
    private final Lifecycle lifecycle;
    private final BiPredicate<Attempt, Attempt> fencingRule;

    /**
     * Creates an engine.
     *
     * @param rules the rules of the policy
     * @param fencingRule whether a report about its first argument applies to its second, the current attempt
     */
    public Engine(Rules rules, BiPredicate<Attempt, Attempt> fencingRule) {
        this.cell = new Cell(rules);
        this.fencingRule = fencingRule;
        this.feasibility = new Feasibility(cell);
        this.placement = new Placement(cell, log, timers);
        this.stopping = new Stopping(cell, log, timers);
        this.preemption = new Preemption(cell, stopping, timers);
        this.reservation = new Reservation(cell, timers);
        this.lifecycle = new Lifecycle(cell, log, placement, stopping, feasibility, timers);
    }

    /**
     * Applies one event.
     *
     * @param nowMs the current time in milliseconds
     * @param event the event
     */
    public void apply(long nowMs, Event event) {
        if (event instanceof Event.WorkspaceSet e) {
            workspaceSet(e.workspace(), nowMs);
        } else if (event instanceof Event.ClassSet e) {
            cell.setClass(e.workClass());
        } else if (event instanceof Event.EvacuationSet e) {
            cell.setEvacuated(e.failureDomain(), e.active());
        } else if (event instanceof Event.WorkerAnnounced e) {
            workerAnnounced(e.worker(), nowMs);
        } else if (event instanceof Event.WorkerResponsive e) {
            workerResponsive(e.worker(), nowMs);
        } else if (event instanceof Event.WorkerUnresponsive e) {
            workerUnresponsive(e.worker());
        } else if (event instanceof Event.WorkerLeaving e) {
            workerLeaving(e.worker());
        } else if (event instanceof Event.JobSubmitted e) {
            jobSubmitted(e.job(), nowMs);
        } else if (event instanceof Event.JobRestored e) {
            jobRestored(e, nowMs);
        } else if (event instanceof Event.JobCancelled e) {
            Optional.ofNullable(cell.job(e.job())).ifPresent(job -> lifecycle.cancel(job, nowMs));
        } else {
            applyToAttempt(nowMs, event);
        }
    }

    /**
     * Makes all decisions that are due.
     *
     * @param nowMs the current time in milliseconds
     * @return the decisions since the previous call, in order
     */
    public List<Decision> decide(long nowMs) {
        timers.run(nowMs);
        placement.run(nowMs);
        if (cell.rules().preempts()) {
            preemption.run(nowMs);
        }
        if (cell.rules().reservesCapacity()) {
            reservation.run(nowMs);
        }
        return log.drain();
    }

    /**
     * Returns when to decide next if no event arrives earlier.
     *
     * @return a time in milliseconds, or empty if nothing is scheduled
     */
    public OptionalLong nextWakeMs() {
        return timers.nextMs();
    }

    /**
     * Explains why a job waits.
     *
     * @param job the job's id
     * @param nowMs the current time in milliseconds
     * @return the explanation, or empty if the job is unknown or finished
     */
    public Optional<Explanation> explain(String job, long nowMs) {
        return Optional.ofNullable(cell.job(job))
                .map(state -> new Explanation(
                        state.waitReason,
                        state.waitingTasks.isEmpty() ? 0 : nowMs - state.waitingSinceMs,
                        state.workClass.waitTargetMs().orElse(0),
                        state.workspace.spec.share(),
                        state.workspace.used.dominantShareOf(cell.responsiveCapacity()),
                        state.waitingTasks.size()));
    }

    /**
     * Returns a read-only view for metrics and status pages.
     *
     * @return a view of the current state, valid until the next event
     */
    public EngineView view() {
        return new EngineView(cell);
    }

    private void applyToAttempt(long nowMs, Event event) {
        if (event instanceof Event.AttemptEnded e) {
            activeTask(e.attempt()).ifPresent(task -> lifecycle.taskEnded(task, nowMs));
        } else if (event instanceof Event.AttemptFailed e) {
            activeTask(e.attempt()).ifPresent(task -> lifecycle.taskFailed(task, nowMs));
        } else if (event instanceof Event.AttemptStopped e) {
            activeTask(e.attempt()).ifPresent(task -> lifecycle.taskStopped(task, nowMs));
        } else if (event instanceof Event.AttemptCheckpointed e) {
            activeTask(e.attempt()).ifPresent(stopping::checkpointed);
        } else if (event instanceof Event.LeaseExpired e) {
            activeTask(e.attempt()).ifPresent(task -> lifecycle.leaseExpired(task, nowMs));
        } else if (event instanceof Event.UsageReported e) {
            activeTask(e.attempt()).ifPresent(task -> lifecycle.usageReported(task, e.used(), nowMs));
        } else {
            throw new IllegalArgumentException("expected: a known event\n  actual: " + event);
        }
    }

    /** The task that a report applies to, or empty if the fencing rule rejects the reported attempt. */
    private Optional<TaskState> activeTask(Attempt reported) {
        JobState job = cell.job(reported.job());
        if (job == null || reported.task() < 0 || reported.task() >= job.tasks.length) {
            return Optional.empty();
        }
        TaskState task = job.tasks[reported.task()];
        return task.isOnWorker() && fencingRule.test(reported, task.attempt()) ? Optional.of(task) : Optional.empty();
    }

    private void workspaceSet(Workspace spec, long nowMs) {
        cell.setWorkspace(spec);
        WorkspaceState workspace = cell.workspace(spec.id());
        stopping.enforceLimit(workspace, nowMs);
        lifecycle.reviewUnschedulable(nowMs);
        lifecycle.reviewBlocked(workspace);
    }

    private void workerAnnounced(Worker spec, long nowMs) {
        WorkerState existing = cell.worker(spec.id());
        if (existing != null) {
            lifecycle.workerRestarted(existing, nowMs);
        }
        cell.addWorker(spec);
        lifecycle.reviewUnschedulable(nowMs);
    }

    private void workerResponsive(Worker spec, long nowMs) {
        WorkerState worker = cell.addWorker(spec);
        stopping.resendStops(worker);
        stopping.resolveOvercommit(worker, nowMs);
        lifecycle.reviewUnschedulable(nowMs);
    }

    private void workerUnresponsive(String id) {
        WorkerState worker = cell.worker(id);
        if (worker != null && !worker.unresponsive) {
            cell.unreserve(worker);
            cell.setUnresponsive(worker, true);
        }
    }

    private void workerLeaving(String id) {
        WorkerState worker = cell.worker(id);
        if (worker != null && !worker.leaving) {
            cell.unreserve(worker);
            cell.setLeaving(worker);
        }
    }

    private void jobSubmitted(Job spec, long nowMs) {
        Optional<Reason> refusal = refusal(spec);
        if (refusal.isPresent()) {
            log.jobRefused(spec.id(), refusal.get());
            return;
        }
        JobState job = newJob(spec, nowMs);
        log.aboutJob(Action.ACCEPT, job, Reason.ADMITTED);
        lifecycle.admit(job, nowMs);
    }

    private Optional<Reason> refusal(Job spec) {
        Resources size = spec.perTask();
        if (spec.tasks() < 1 || size.isNegative() || size.equals(Resources.NONE)) {
            return Optional.of(Reason.BAD_SIZE);
        }
        if (cell.workspace(spec.workspace()) == null) {
            return Optional.of(Reason.UNKNOWN_WORKSPACE);
        }
        if (cell.workClass(spec.workClass()) == null) {
            return Optional.of(Reason.UNKNOWN_CLASS);
        }
        return cell.job(spec.id()) == null ? Optional.empty() : Optional.of(Reason.DUPLICATE_JOB);
    }

    private JobState newJob(Job spec, long nowMs) {
        JobState job = new JobState(
                spec, cell.workClass(spec.workClass()), cell.workspace(spec.workspace()), cell.nextSequence());
        job.waitingSinceMs = Math.min(nowMs, spec.submittedAtMs());
        cell.addJob(job);
        return job;
    }

    private void jobRestored(Event.JobRestored restored, long nowMs) {
        JobState job = newJob(restored.job(), nowMs);
        for (int i = 0; i < job.tasks.length; i++) {
            job.tasks[i].attemptNumber = restored.attempts().get(i);
            job.tasks[i].restarts = restored.restarts().get(i);
            if (job.tasks[i].restarts.isSuspect()) {
                lifecycle.isolate(job, nowMs);
            }
        }
        for (int ended : restored.endedTasks()) {
            job.tasks[ended].phase = TaskPhase.ENDED;
            job.waitingTasks.remove(ended);
            job.endedTasks++;
        }
        for (Attempt attempt : restored.held()) {
            WorkerState worker = cell.worker(attempt.worker());
            if (worker == null) {
                worker = cell.addPlaceholderWorker(attempt.worker());
            }
            cell.allocate(job.tasks[attempt.task()], worker, job.spec.perTask(), nowMs);
        }
        lifecycle.admit(job, nowMs);
    }

    /**
     * Lists the jobs that are not finished.
     *
     * @return their ids
     */
    public List<String> liveJobs() {
        List<String> ids = new ArrayList<>();
        cell.jobs().forEach(job -> ids.add(job.spec.id()));
        return ids;
    }
}
