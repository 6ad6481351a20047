package org.lovagegrade.graph.leader;

import java.util.List;
import java.util.Optional;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.planning.Urgency;
import org.lovagegrade.graph.planning.WorkEstimate;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.QueueProto;

/** Reports the acceptance and the end of jobs, and measures how long they wait until their first run begins. */
final class JobAccounting {
    private static final String JOBS_OVER = "lovagegrade_jobs_over";
    private static final String JOB_WAIT_MS = "lovagegrade_job_wait_ms";

    private final GraphStateMachine machine;
    private final Clock wallClock;
    private final Metrics metrics;

    JobAccounting(GraphStateMachine machine, Clock wallClock, Metrics metrics) {
        this.machine = machine;
        this.wallClock = wallClock;
        this.metrics = metrics.declare(JOBS_OVER, JobResult.class);
    }

    void jobAccepted(JobRecord job) {
        List<StepRecord> steps = job.occurrences().get(0);
        Optional<QueueProto> queue = queueOf(job);
        Log.event("jobAccepted")
                .with("job", job.id())
                .with("queue", job.graph().getQueue())
                .with("workspace", job.graph().getWorkspace())
                .with("steps", job.graph().getStepsCount())
                .with("priority", queue.map(QueueProto::getPriority).orElse(0))
                .with("objectiveMs", objectiveMs(steps, queue))
                .with("milliCores", widestStepMilliCores(steps))
                .with("coreMs", estimatedCoreMs(steps) * job.occurrences().size())
                .info();
    }

    void jobBegun(JobRecord job) {
        long waitedMs = wallClock.nowMs() - job.dueAtMs(0);
        PriorityBand band =
                PriorityBand.of(queueOf(job).map(QueueProto::getPriority).orElse(0));
        metrics.record(JOB_WAIT_MS, "priority", band, (double) Math.max(0, waitedMs));
    }

    void jobFinished(JobRecord job) {
        long nowMs = wallClock.nowMs();
        Optional<QueueProto> queue = queueOf(job);
        JobResult result = JobResult.of(job, queue, nowMs);
        metrics.count(JOBS_OVER, result);
        Log.event("jobOver")
                .with("job", job.id())
                .with("queue", job.graph().getQueue())
                .with("workspace", job.graph().getWorkspace())
                .with("state", job.state().name())
                .with("result", result.name())
                .with("tookMs", nowMs - job.acceptedAtMs())
                .with("objectiveMs", objectiveMs(job.occurrences().get(0), queue))
                .info();
    }

    private Optional<QueueProto> queueOf(JobRecord job) {
        return machine.queue(job.graph().getQueue());
    }

    private static long objectiveMs(List<StepRecord> steps, Optional<QueueProto> queue) {
        return queue.map(known -> Math.round(Urgency.objectiveMs(steps, known))).orElse(0L);
    }

    private static long widestStepMilliCores(List<StepRecord> steps) {
        return steps.stream()
                .mapToLong(step -> step.perTask().times(step.tasks().size()).milliCores())
                .max()
                .orElse(0);
    }

    /** The work of one occurrence by the estimates of its steps, in core-milliseconds. */
    private static long estimatedCoreMs(List<StepRecord> steps) {
        return steps.stream()
                .mapToLong(step -> WorkEstimate.coreMs(
                        step.perTask().times(step.tasks().size()).milliCores(),
                        step.spec().getEstimateMs()))
                .sum();
    }
}
