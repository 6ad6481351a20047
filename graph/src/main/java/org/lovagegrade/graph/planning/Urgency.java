package org.lovagegrade.graph.planning;

import java.util.List;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.QueueProto;

/**
 * Whether an occurrence of a job can still meet its objective, judged by the estimates of its steps. At equal priority,
 * work that can meet it goes before work that can't: after an outage only the work that waited through it is late, and
 * the delay doesn't spread to the work that became due afterwards.
 */
public enum Urgency {
    /** The objective can still be met. */
    IN_TIME,
    /** The objective will be missed, but the result is still useful. */
    LATE,
    /** The result comes too late to be useful. */
    OVERDUE;

    /** A result is useful if it takes at most this many times the objective. */
    private static final double USEFUL_FACTOR = 3;

    /**
     * Determines the urgency of an occurrence. Its objective is the critical path of its estimates times the queue's
     * slack factor, plus the queue's completion target.
     *
     * @param job the job
     * @param occurrence the number of the occurrence, from 0
     * @param queue the job's queue
     * @param dueAtMs when the occurrence became due, in milliseconds since 1970
     * @param nowMs the present time, in milliseconds since 1970
     * @return the urgency
     */
    public static Urgency of(JobRecord job, int occurrence, QueueProto queue, long dueAtMs, long nowMs) {
        List<StepRecord> steps = job.occurrences().get(occurrence);
        double objectiveMs = objectiveMs(steps, queue);
        double expectedMs = nowMs - dueAtMs + criticalPathMs(steps, true);
        if (expectedMs <= objectiveMs) {
            return IN_TIME;
        }
        return expectedMs <= objectiveMs * USEFUL_FACTOR ? LATE : OVERDUE;
    }

    /**
     * The time within which the caller of an occurrence expects its result.
     *
     * @param steps the steps of the occurrence
     * @param queue the job's queue
     * @return the objective, in milliseconds from when the occurrence is due
     */
    public static double objectiveMs(List<StepRecord> steps, QueueProto queue) {
        return queue.getSlackFactor() * criticalPathMs(steps, false) + queue.getCompletionTargetMs();
    }

    /**
     * Returns the latest start of an occurrence's remaining steps with which it meets its objective.
     *
     * @param job the job
     * @param occurrence the number of the occurrence, from 0
     * @param queue the job's queue
     * @param dueAtMs when the occurrence became due, in milliseconds since 1970
     * @return the time in milliseconds since 1970
     */
    static long latestStartMs(JobRecord job, int occurrence, QueueProto queue, long dueAtMs) {
        List<StepRecord> steps = job.occurrences().get(occurrence);
        return dueAtMs + (long) objectiveMs(steps, queue) - criticalPathMs(steps, true);
    }

    /**
     * Determines how long an occurrence can wait and still meet its objective by the estimates of its unfinished steps.
     *
     * @param job the job
     * @param occurrence the number of the occurrence, from 0
     * @param queue the job's queue
     * @param dueAtMs when the occurrence became due, in milliseconds since 1970
     * @param nowMs the present time, in milliseconds since 1970
     * @return the time in milliseconds, negative if the objective will be missed
     */
    public static double slackMs(JobRecord job, int occurrence, QueueProto queue, long dueAtMs, long nowMs) {
        List<StepRecord> steps = job.occurrences().get(occurrence);
        return objectiveMs(steps, queue) - (nowMs - dueAtMs) - criticalPathMs(steps, true);
    }

    /** The critical path by the steps' estimates, in milliseconds, optionally without the steps that are done. */
    private static long criticalPathMs(List<StepRecord> steps, boolean onlyUnfinished) {
        long[] finishMs = new long[steps.size()];
        long pathMs = 0;
        for (StepRecord step : steps) {
            long startMs = 0;
            for (int predecessor : step.spec().getAfterList()) {
                startMs = Math.max(startMs, finishMs[predecessor]);
            }
            boolean counts = !onlyUnfinished || !step.isDone();
            finishMs[step.number()] = startMs + (counts ? step.spec().getEstimateMs() : 0);
            pathMs = Math.max(pathMs, finishMs[step.number()]);
        }
        return pathMs;
    }
}
