package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.planning.WorkEstimate;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.RunTimeRatios;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.overload.WorkspaceRates;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.RunEndProto;

/** What the leader knows of the work of jobs: their sizes, the shares of workspaces, and how long runs really take. */
final class WorkAccount {
    private final GraphStateMachine machine;
    private final WorkspaceRates rates = new WorkspaceRates();
    private final RunTimeRatios ratios = new RunTimeRatios();
    private final Map<String, MeanSize> meanSizeByQueue = new HashMap<>();
    private final Map<String, Profile> profilesByJob = new HashMap<>();
    private final Map<RunKey, Long> startedAtMs = new HashMap<>();

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
    }

    void jobFinished(JobRecord job) {
        profilesByJob.remove(job.id());
    }

    void runStarted(RunRecord run, long nowMs) {
        startedAtMs.put(run.key(), nowMs);
    }

    /** Notes how long a run took; runs that were started by an earlier leader are not measured. */
    void runEnded(RunRecord run, RunEndProto how, long nowMs) {
        Long startMs = startedAtMs.remove(run.key());
        if (startMs != null && how == RunEndProto.RUN_DONE) {
            StepRecord step = run.step();
            ratios.completed(step.job().graph().getQueue(), step.spec().getEstimateMs(), nowMs - startMs);
        }
    }

    /** What it costs to let an occurrence of an active job wait. */
    CostOfDelay costOfDelay(JobRecord job, int occurrence, QueueProto queue, long wallMs) {
        return CostOfDelay.of(item(job, occurrence, queue), wallMs);
    }

    private WorkItem item(JobRecord job, int occurrence, QueueProto queue) {
        Profile profile = profilesByJob.get(job.id());
        List<StepRecord> steps = job.occurrences().get(occurrence);
        Objective objective = objective(profile.whole(), queue).from(job.dueAtMs(occurrence));
        return new WorkItem(
                job.id(),
                job.graph().getWorkspace(),
                queue.getPriority(),
                objective,
                remaining(WorkEstimate.left(steps), profile.whole(), queue),
                profile.withinShare());
    }

    /** The objective by the estimates as submitted, as the caller counts it. */
    private static Objective objective(WorkEstimate whole, QueueProto queue) {
        return whole.lasting()
                ? Objective.unlimited()
                : Objective.within(Math.round(queue.getSlackFactor() * whole.pathMs()) + queue.getCompletionTargetMs());
    }

    private RemainingWork remaining(WorkEstimate left, WorkEstimate whole, QueueProto queue) {
        double ratio = ratios.of(queue.getName());
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
