package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.planning.WorkEstimate;
import org.lovagegrade.overload.Backlog;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.ServiceRate;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.overload.WorkspaceRates;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.RunEndProto;

/**
 * What the leader knows of the work of jobs: their sizes, the shares of workspaces, the ratio of actual to estimated run
 * times, the backlog, and the rate at which work leaves it. It provides the inputs of the order {@code cost} and of
 * admission control.
 */
final class WorkAccount {
    /** There is a backlog if the waiting work is more than the workers can do in this time. */
    private static final long BACKLOGGED_MS = 1_000;

    private final GraphStateMachine machine;
    private final WorkspaceRates rates = new WorkspaceRates();
    private final ServiceRate serviceRate = new ServiceRate();
    private final Backlog backlog = new Backlog();
    private final Map<String, MeanSize> meanSizeByQueue = new HashMap<>();
    private final Map<String, Profile> profilesByJob = new HashMap<>();
    private final Map<RunKey, Long> startedAtMs = new HashMap<>();
    /** Jobs whose waiting work has changed since the backlog was last brought up to date. */
    private final Set<JobRecord> changedJobs = new LinkedHashSet<>();

    private long servedCoreMs;

    /** The whole work of an occurrence, and whether the job's workspace was within its share when it was accepted. */
    private record Profile(WorkEstimate whole, boolean withinShare) {}

    /** The mean work of the jobs of a queue; the sums are halved at a number of jobs, so that older ones fade. */
    private record MeanSize(double jobs, double coreMs) {
        private static final int WINDOW_JOBS = 512;

        MeanSize plus(long jobCoreMs) {
            MeanSize sum = new MeanSize(jobs + 1, coreMs + jobCoreMs);
            return sum.jobs < WINDOW_JOBS ? sum : new MeanSize(sum.jobs / 2, sum.coreMs / 2);
        }

        double relative(long jobCoreMs) {
            return coreMs > 0 ? jobCoreMs * jobs / coreMs : 1;
        }
    }

    WorkAccount(GraphStateMachine machine) {
        this.machine = machine;
        machine.activeJobs().forEach(this::jobAccepted);
    }

    void jobAccepted(JobRecord job) {
        GraphProto graph = job.graph();
        WorkEstimate whole = WorkEstimate.whole(graph);
        meanSizeByQueue.merge(
                graph.getQueue(),
                new MeanSize(1, whole.waitingCoreMs()),
                (mean, _job) -> mean.plus(whole.waitingCoreMs()));
        boolean withinShare = rates.take(graph.getWorkspace(), weight(graph.getWorkspace()), job.acceptedAtMs());
        profilesByJob.put(job.id(), new Profile(whole, withinShare));
        machine.queue(graph.getQueue())
                .filter(_queue -> withinShare)
                .ifPresent(
                        queue -> serviceRate.arrived(queue.getPriority(), whole.waitingCoreMs(), job.acceptedAtMs()));
        changedJobs.add(job);
    }

    void jobFinished(JobRecord job) {
        profilesByJob.remove(job.id());
        changedJobs.remove(job);
        for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
            backlog.remove(itemId(job, occurrence));
        }
    }

    void runStarted(RunRecord run, long nowMs) {
        startedAtMs.put(run.key(), nowMs);
        changedJobs.add(run.step().job());
    }

    /** Notes how long a run took; runs that were started by an earlier leader are not measured. */
    void runEnded(RunRecord run, RunEndProto how, long nowMs) {
        changedJobs.add(run.step().job());
        Long startMs = startedAtMs.remove(run.key());
        if (startMs != null && how == RunEndProto.RUN_DONE) {
            StepRecord step = run.step();
            long tookMs = nowMs - startMs;
            serviceRate
                    .ratios()
                    .completed(step.job().graph().getQueue(), step.spec().getEstimateMs(), tookMs);
            servedCoreMs += WorkEstimate.coreMs(step.perTask().milliCores(), tookMs);
        }
    }

    /** What it costs to let an occurrence of an active job wait. */
    CostOfDelay costOfDelay(JobRecord job, int occurrence, QueueProto queue, long wallMs) {
        return CostOfDelay.of(item(job, occurrence, queue), wallMs);
    }

    /** Measures the rate at which work leaves; to be called regularly. */
    void observe(long usableMilliCores, long wallMs) {
        refreshBacklog(wallMs);
        serviceRate.setCapacity(usableMilliCores);
        boolean isBacklogged = backlog.coreMs() > WorkEstimate.coreMs(usableMilliCores, BACKLOGGED_MS);
        serviceRate.left(servedCoreMs, isBacklogged, wallMs);
        servedCoreMs = 0;
        machine.configuration()
                .ifPresent(configuration -> configuration
                        .proto()
                        .getWorkspacesList()
                        .forEach(workspace -> backlog.setLimit(
                                workspace.getName(), workspace.getLimit().getMilliCores())));
    }

    Backlog backlog(long wallMs) {
        refreshBacklog(wallMs);
        return backlog;
    }

    ServiceRate serviceRate() {
        return serviceRate;
    }

    /** The item that a submitted job would be, if its objective counts from the given time. */
    WorkItem submittedItem(GraphProto graph, QueueProto queue, long dueAtMs, long wallMs) {
        WorkEstimate whole = WorkEstimate.whole(graph);
        return new WorkItem(
                graph.getId(),
                graph.getWorkspace(),
                queue.getPriority(),
                objective(whole, queue).from(dueAtMs),
                remaining(whole, whole, queue),
                rates.isWithinShare(graph.getWorkspace(), weight(graph.getWorkspace()), wallMs));
    }

    private void refreshBacklog(long wallMs) {
        for (JobRecord job : changedJobs) {
            machine.queue(job.graph().getQueue()).ifPresent(queue -> refresh(job, queue, wallMs));
        }
        changedJobs.clear();
    }

    private void refresh(JobRecord job, QueueProto queue, long wallMs) {
        for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
            if (!job.isFinished() && job.dueAtMs(occurrence) <= wallMs) {
                putIfWaiting(item(job, occurrence, queue));
            }
        }
    }

    private void putIfWaiting(WorkItem item) {
        if (item.work().tasks() > 0) {
            backlog.put(item);
        } else {
            backlog.remove(item.id());
        }
    }

    private static String itemId(JobRecord job, int occurrence) {
        return job.id() + "." + occurrence;
    }

    private WorkItem item(JobRecord job, int occurrence, QueueProto queue) {
        Profile profile = profilesByJob.get(job.id());
        List<StepRecord> steps = job.occurrences().get(occurrence);
        Objective objective = objective(profile.whole(), queue).from(job.dueAtMs(occurrence));
        return new WorkItem(
                itemId(job, occurrence),
                job.graph().getWorkspace(),
                queue.getPriority(),
                objective,
                remaining(WorkEstimate.left(steps), profile.whole(), queue),
                profile.withinShare());
    }

    /** The objective by the estimates as submitted, as the caller counts it. */
    private static Objective objective(WorkEstimate whole, QueueProto queue) {
        boolean isWithoutObjective = queue.getSlackFactor() <= 0 && queue.getCompletionTargetMs() <= 0;
        return whole.lasting() || isWithoutObjective
                ? Objective.unlimited()
                : Objective.within(Math.round(queue.getSlackFactor() * whole.pathMs()) + queue.getCompletionTargetMs());
    }

    private RemainingWork remaining(WorkEstimate left, WorkEstimate whole, QueueProto queue) {
        double ratio = serviceRate.ratios().of(queue.getName());
        MeanSize mean = meanSizeByQueue.getOrDefault(queue.getName(), new MeanSize(0, 0));
        return new RemainingWork(
                Math.round(left.pathMs() * ratio),
                Math.round(left.waitingCoreMs() * ratio),
                Math.round(left.startedCoreMs() * ratio),
                mean.relative(whole.waitingCoreMs()),
                left.waitingTasks(),
                left.gang());
    }

    private double weight(String workspace) {
        return machine.configuration()
                .flatMap(configuration -> configuration.workspace(workspace))
                .map(GraphWorkspaceProto::getWeight)
                .orElse(0.0);
    }
}
