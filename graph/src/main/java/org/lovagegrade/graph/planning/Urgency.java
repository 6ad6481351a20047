package org.lovagegrade.graph.planning;

import java.util.List;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.QueueProto;

/**
 * Whether an occurrence of a job can still meet its objective, by its own estimates. Work that can goes before work of
 * the same priority that can't, so that an outage makes those late that waited through it, and not all after them too.
 */
public enum Urgency {
    /** The objective can still be met. */
    IN_TIME,
    /** It will be late, and still be of use. */
    LATE,
    /** It comes too late to be of use. */
    OVERDUE;

    /** Work that ends within this many times its objective is still of use. */
    private static final double USEFUL_FACTOR = 3;

    /**
     * Judges an occurrence.
     *
     * @param job the job
     * @param occurrence the number of the occurrence
     * @param queue its queue
     * @param sinceMs since when it is due, on the time of day in milliseconds
     * @param nowMs the time of day in milliseconds
     * @return the urgency
     */
    public static Urgency of(JobRecord job, int occurrence, QueueProto queue, long sinceMs, long nowMs) {
        List<StepRecord> steps = job.occurrences().get(occurrence);
        double objectiveMs = queue.getSlackFactor() * chainMs(steps, false) + queue.getCompletionTargetMs();
        double endMs = nowMs - sinceMs + chainMs(steps, true);
        if (endMs <= objectiveMs) {
            return IN_TIME;
        }
        return endMs <= objectiveMs * USEFUL_FACTOR ? LATE : OVERDUE;
    }

    /** The longest chain of estimates, in milliseconds; of steps that are not done, if so asked. */
    private static long chainMs(List<StepRecord> steps, boolean onlyOpen) {
        long[] endsMs = new long[steps.size()];
        long longestMs = 0;
        for (StepRecord step : steps) {
            long startMs = 0;
            for (int earlier : step.spec().getAfterList()) {
                startMs = Math.max(startMs, endsMs[earlier]);
            }
            boolean counts = !onlyOpen || !step.isDone();
            endsMs[step.number()] = startMs + (counts ? step.spec().getEstimateMs() : 0);
            longestMs = Math.max(longestMs, endsMs[step.number()]);
        }
        return longestMs;
    }
}
