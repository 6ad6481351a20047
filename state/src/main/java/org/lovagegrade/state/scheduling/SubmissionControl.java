package org.lovagegrade.state.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Scheduler;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.overload.AdmissionControl;
import org.lovagegrade.overload.AdmissionDecision;
import org.lovagegrade.overload.Backlog;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.ServiceRate;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.wire.proto.ClassKindProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/**
 * Refuses jobs at submission that can't start while their results are useful. Only jobs of a class with a wait target can
 * be refused, and only if their run time is declared or was observed for their class. Services are never refused, as they
 * have no result.
 */
public final class SubmissionControl {
    private static final int NO_TARGET_PRIORITY = Long.SIZE;
    private static final long MILLI_CORES_PER_CORE = 1_000;
    /** The observed run time of a class is a mean in which each run has the weight of one among this many. */
    private static final int OBSERVED_RUNS = 8;

    private final StateMachine machine;
    private final Scheduler scheduler;
    private final long wallOffsetMs;
    private final Backlog backlog = new Backlog();
    private final ServiceRate rate = new ServiceRate();
    private final Map<String, UnfinishedJob> jobs = new HashMap<>();
    private final Map<String, Long> observedRunMsByClass = new HashMap<>();
    private final Map<Attempt, Long> placedAtMs = new HashMap<>();
    private final Map<Attempt, Long> milliCoresOfServices = new HashMap<>();
    private long serviceMilliCores;
    /** The work that was placed since the last tick, in core-milliseconds. */
    private long placedCoreMs;

    /** An unfinished job, and the numbers of its tasks that wait and that are placed. */
    private record UnfinishedJob(
            JobSpecProto spec, WorkClassProto workClass, long submittedAtMs, int waitingTasks, int placedTasks) {
        /**
         * Adds to the numbers of tasks. They don't fall below 0: ended tasks of a gang wait again without a decision if another
         * member is lost.
         */
        UnfinishedJob with(int waitingMore, int placedMore) {
            return new UnfinishedJob(
                    spec,
                    workClass,
                    submittedAtMs,
                    Math.max(0, waitingTasks + waitingMore),
                    Math.max(0, placedTasks + placedMore));
        }

        boolean isFinished() {
            return waitingTasks == 0 && placedTasks == 0;
        }

        boolean isService() {
            return workClass.getKind() == ClassKindProto.SERVICE;
        }
    }

    SubmissionControl(StateMachine machine, Scheduler scheduler, long wallOffsetMs) {
        this.machine = machine;
        this.scheduler = scheduler;
        this.wallOffsetMs = wallOffsetMs;
    }

    /**
     * Decides about a submission that is about to be proposed; an accepted job counts as waiting from now on. A request
     * that was answered before and a job that exists are always let through, to get their answers.
     *
     * @param command the submission
     * @param nowMs the current monotonic time in milliseconds
     * @return the refusal, or empty if the submission is to be proposed
     */
    public Optional<AdmissionDecision.Refused> refusalOf(CommandProto command, long nowMs) {
        JobSpecProto spec = command.getSubmit().getSpec();
        WorkClassProto workClass = machine.workClass(spec.getWorkClass());
        boolean isKnown = machine.isAnswered(command.getRequestId())
                || machine.job(spec.getId()).isPresent();
        if (isKnown || workClass == null) {
            return Optional.empty();
        }
        UnfinishedJob job = new UnfinishedJob(spec, workClass, wallMs(nowMs), spec.getTasks(), 0);
        if (mayBeRefused(job)) {
            WorkItem item = item(job, objective(job));
            rate.setCapacity(usableMilliCores());
            if (AdmissionControl.decide(item, backlog, rate, wallMs(nowMs))
                    instanceof AdmissionDecision.Refused refused) {
                logRefusal(job, refused);
                return Optional.of(refused);
            }
            rate.arrived(item.priority(), item.work().coreMs(), wallMs(nowMs));
        }
        update(job);
        return Optional.empty();
    }

    /** Takes over an unfinished job from a previous leader. */
    void restored(JobSpecProto spec, List<Attempt> assigned, int waitingTasks, long submittedAtMs) {
        WorkClassProto workClass = machine.workClass(spec.getWorkClass());
        if (workClass == null) {
            return;
        }
        UnfinishedJob job = new UnfinishedJob(spec, workClass, wallMs(submittedAtMs), waitingTasks, assigned.size());
        assigned.forEach(attempt -> countService(attempt, job));
        update(job);
    }

    /** Forgets a submission that was refused when it was applied, unless its job exists. */
    void submissionRefused(String job) {
        if (machine.job(job).isEmpty()) {
            forget(job);
        }
    }

    void jobCancelled(String job) {
        forget(job);
    }

    void workspaceSet(WorkspaceProto workspace) {
        backlog.setLimit(workspace.getId(), workspace.getLimitMilliCores());
    }

    /** Follows a decision of the scheduler. */
    void decided(Decision decision, long nowMs) {
        switch (decision.action()) {
            case PLACE -> placed(decision.toAttempt(), nowMs);
            case END -> ended(decision.toAttempt(), decision.reason() == Reason.COMPLETED, nowMs);
            case LEASE_EXPIRED -> ended(decision.toAttempt(), false, nowMs);
            case SET_ASIDE -> backlog.remove(decision.job());
            case FAIL -> {
                if (decision.task() == Decision.WHOLE_JOB) {
                    forget(decision.job());
                } else {
                    ended(decision.toAttempt(), false, nowMs);
                }
            }
            default -> {}
        }
    }

    /** Measures the rate at which waiting work is placed; to be called regularly. */
    void tick(long nowMs) {
        boolean[] waitsForCapacity = new boolean[1];
        scheduler.view().forEachWorkspace(workspace -> waitsForCapacity[0] |= workspace.waitsForCapacity());
        rate.setCapacity(usableMilliCores());
        rate.left(placedCoreMs, waitsForCapacity[0], wallMs(nowMs));
        placedCoreMs = 0;
    }

    private void placed(Attempt attempt, long nowMs) {
        UnfinishedJob job = jobs.get(attempt.job());
        if (job == null) {
            return;
        }
        placedAtMs.put(attempt, nowMs);
        placedCoreMs += coreMs(job, 1);
        countService(attempt, job);
        update(job.with(-1, 1));
    }

    private void countService(Attempt attempt, UnfinishedJob job) {
        if (job.isService()) {
            long milliCores = job.spec().getPerTask().getMilliCores();
            milliCoresOfServices.put(attempt, milliCores);
            serviceMilliCores += milliCores;
        }
    }

    private void ended(Attempt attempt, boolean isCompleted, long nowMs) {
        Long startMs = placedAtMs.remove(attempt);
        Long milliCores = milliCoresOfServices.remove(attempt);
        serviceMilliCores -= milliCores == null ? 0 : milliCores;
        UnfinishedJob job = jobs.get(attempt.job());
        if (job == null) {
            return;
        }
        if (isCompleted && startMs != null) {
            observe(job, nowMs - startMs);
        }
        update(job.with(isCompleted ? 0 : 1, -1));
    }

    private void observe(UnfinishedJob job, long runMs) {
        String workClass = job.spec().getWorkClass();
        rate.ratios().completed(workClass, job.spec().getDeclaredRunMs(), runMs);
        observedRunMsByClass.merge(workClass, runMs, (mean, latest) -> mean + (latest - mean) / OBSERVED_RUNS);
    }

    private void update(UnfinishedJob job) {
        if (job.isFinished()) {
            forget(job.spec().getId());
            return;
        }
        jobs.put(job.spec().getId(), job);
        if (job.waitingTasks() > 0 && !job.isService()) {
            // Accepted work is placed however late it is, so it is ahead of new work for as long as it waits.
            backlog.put(item(job, Objective.unlimited()));
        } else {
            backlog.remove(job.spec().getId());
        }
    }

    private void forget(String job) {
        jobs.remove(job);
        backlog.remove(job);
    }

    private boolean mayBeRefused(UnfinishedJob job) {
        return job.workClass().hasWaitTargetMs() && !job.isService() && runMs(job) > 0;
    }

    private WorkItem item(UnfinishedJob job, Objective objective) {
        JobSpecProto spec = job.spec();
        RemainingWork work = RemainingWork.of(runMs(job), coreMs(job, job.waitingTasks()));
        return WorkItem.of(
                spec.getId(),
                spec.getWorkspace(),
                priority(job.workClass()),
                objective,
                job.workClass().getKind() == ClassKindProto.GANG ? work.asGang(spec.getTasks()) : work);
    }

    private Objective objective(UnfinishedJob job) {
        return Objective.within(job.workClass().getWaitTargetMs() + runMs(job)).from(job.submittedAtMs());
    }

    /** Work with a shorter target goes first, in steps of a factor of two, as the scheduler orders it by slack. */
    private static int priority(WorkClassProto workClass) {
        return workClass.hasWaitTargetMs()
                ? Long.SIZE - Long.numberOfLeadingZeros(workClass.getWaitTargetMs())
                : NO_TARGET_PRIORITY;
    }

    /** The expected run time of a task, in milliseconds; 0 if it is unknown. */
    private long runMs(UnfinishedJob job) {
        String workClass = job.spec().getWorkClass();
        long declaredMs = job.spec().getDeclaredRunMs();
        return declaredMs > 0
                ? Math.round(declaredMs * rate.ratios().of(workClass))
                : observedRunMsByClass.getOrDefault(workClass, 0L);
    }

    private long coreMs(UnfinishedJob job, int tasks) {
        return runMs(job) * job.spec().getPerTask().getMilliCores() * tasks / MILLI_CORES_PER_CORE;
    }

    /** Services don't end by themselves, so work that waits can't use what they hold. */
    private long usableMilliCores() {
        return Math.max(0, scheduler.view().responsiveCapacity().milliCores() - serviceMilliCores);
    }

    private long wallMs(long nowMs) {
        return nowMs + wallOffsetMs;
    }

    private void logRefusal(UnfinishedJob job, AdmissionDecision.Refused refused) {
        Log.event("jobRefusedForLoad")
                .with("job", job.spec().getId())
                .with("team", job.spec().getWorkspace())
                .with("class", job.spec().getWorkClass())
                .with("cause", refused.reason().name())
                .with("coreMsAhead", refused.coreMsAhead())
                .with("jobsWaiting", backlog.size())
                .with("retryAfterMs", refused.retryAfterMs())
                .info();
    }
}
