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

/** Takes events in and gives decisions out; the same events give the same decisions. */
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
    private final BiPredicate<Attempt, Attempt> fence;

    /**
     * Creates an engine.
     *
     * @param rules what differs between policies
     * @param fence whether a report about its first argument may be applied to its second, which is held now
     */
    public Engine(Rules rules, BiPredicate<Attempt, Attempt> fence) {
        this.cell = new Cell(rules);
        this.fence = fence;
        this.feasibility = new Feasibility(cell);
        this.placement = new Placement(cell, log, timers);
        this.stopping = new Stopping(cell, log, timers);
        this.preemption = new Preemption(cell, stopping, timers);
        this.reservation = new Reservation(cell, timers);
        this.lifecycle = new Lifecycle(cell, log, placement, stopping, feasibility);
    }

    /**
     * Takes one event in.
     *
     * @param nowMs the present time in milliseconds
     * @param event the event
     */
    public void apply(long nowMs, Event event) {
        if (event instanceof Event.WorkspaceSet e) {
            workspaceSet(e.workspace(), nowMs);
        } else if (event instanceof Event.ClassSet e) {
            cell.setClass(e.workClass());
        } else if (event instanceof Event.WorkerAnnounced e) {
            workerAnnounced(e.worker(), nowMs);
        } else if (event instanceof Event.WorkerResponsive e) {
            workerHeard(e.worker(), nowMs);
        } else if (event instanceof Event.WorkerUnresponsive e) {
            workerSilent(e.worker());
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
     * Decides all that is due.
     *
     * @param nowMs the present time in milliseconds
     * @return the decisions since the last call, in order
     */
    public List<Decision> decide(long nowMs) {
        timers.run(nowMs);
        placement.run(nowMs);
        if (cell.rules().preempts()) {
            preemption.run(nowMs);
        }
        if (cell.rules().reserves()) {
            reservation.run(nowMs);
        }
        return log.take();
    }

    /**
     * When to decide next, if no event comes before.
     *
     * @return a time in milliseconds, or empty
     */
    public OptionalLong nextWakeMs() {
        return timers.nextMs();
    }

    /**
     * Tells why a job waits.
     *
     * @param job the job's id
     * @param nowMs the present time in milliseconds
     * @return the explanation, or empty if the job is not known or over
     */
    public Optional<Explanation> explain(String job, long nowMs) {
        return Optional.ofNullable(cell.job(job))
                .map(state -> new Explanation(
                        state.waitReason,
                        state.waiting.isEmpty() ? 0 : nowMs - state.waitingSinceMs,
                        state.workClass.waitTargetMs().orElse(0),
                        state.workspace.spec.share(),
                        state.workspace.used.dominantShareOf(cell.responsiveCapacity()),
                        state.waiting.size()));
    }

    /**
     * Gives read access for measures and status pages.
     *
     * @return a view of the present state
     */
    public EngineView view() {
        return new EngineView(cell);
    }

    private void applyToAttempt(long nowMs, Event event) {
        if (event instanceof Event.AttemptEnded e) {
            held(e.attempt()).ifPresent(task -> lifecycle.ended(task, nowMs));
        } else if (event instanceof Event.AttemptFailed e) {
            held(e.attempt()).ifPresent(task -> lifecycle.failed(task, nowMs));
        } else if (event instanceof Event.AttemptStopped e) {
            held(e.attempt()).ifPresent(task -> lifecycle.stopped(task, nowMs));
        } else if (event instanceof Event.AttemptCheckpointed e) {
            held(e.attempt()).ifPresent(stopping::checkpointed);
        } else if (event instanceof Event.LeaseExpired e) {
            held(e.attempt()).ifPresent(task -> lifecycle.leaseExpired(task, nowMs));
        } else if (event instanceof Event.UsageReported e) {
            held(e.attempt()).ifPresent(task -> lifecycle.usageReported(task, e.used(), nowMs));
        } else {
            throw new IllegalArgumentException("expected: a known event\n  actual: " + event);
        }
    }

    /** The task that a report may be applied to: the fence of worker and attempt. */
    private Optional<TaskState> held(Attempt reported) {
        JobState job = cell.job(reported.job());
        if (job == null || reported.task() < 0 || reported.task() >= job.tasks.length) {
            return Optional.empty();
        }
        TaskState task = job.tasks[reported.task()];
        return task.isOnWorker() && fence.test(reported, task.attempt()) ? Optional.of(task) : Optional.empty();
    }

    private void workspaceSet(Workspace spec, long nowMs) {
        cell.setWorkspace(spec);
        WorkspaceState workspace = cell.workspace(spec.id());
        stopping.enforceLimit(workspace, nowMs);
        lifecycle.reviewSetAside(nowMs);
        lifecycle.reviewWaiting(workspace);
    }

    private void workerAnnounced(Worker spec, long nowMs) {
        WorkerState known = cell.worker(spec.id());
        if (known != null) {
            lifecycle.workerRestarted(known, nowMs);
        }
        cell.addWorker(spec);
        lifecycle.reviewSetAside(nowMs);
    }

    private void workerHeard(Worker spec, long nowMs) {
        WorkerState worker = cell.addWorker(spec);
        stopping.repeatFor(worker);
        stopping.relieve(worker, nowMs);
        lifecycle.reviewSetAside(nowMs);
    }

    private void workerSilent(String id) {
        WorkerState worker = cell.worker(id);
        if (worker != null && !worker.silent) {
            cell.unreserve(worker);
            cell.setSilent(worker, true);
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
            log.refused(spec.id(), refusal.get());
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
        }
        for (int ended : restored.endedTasks()) {
            job.tasks[ended].phase = TaskPhase.ENDED;
            job.waiting.remove(ended);
            job.endedTasks++;
        }
        for (Attempt attempt : restored.held()) {
            WorkerState worker = cell.worker(attempt.worker());
            if (worker == null) {
                worker = cell.addUnheardWorker(attempt.worker());
            }
            cell.hold(job.tasks[attempt.task()], worker, job.spec.perTask(), nowMs);
        }
        lifecycle.admit(job, nowMs);
    }

    /**
     * Lists the jobs that are not over.
     *
     * @return their ids
     */
    public List<String> liveJobs() {
        List<String> ids = new ArrayList<>();
        cell.jobs().forEach(job -> ids.add(job.spec.id()));
        return ids;
    }
}
