package org.lovagegrade.graph.machine;

import java.util.Optional;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.StepProto;

/**
 * The limits within which every replica can hold a job. They are checked where a job is decoded and again when it is
 * applied, since a replica that can't apply a committed command could not start again either.
 */
public final class GraphLimits {
    /** The largest number of tasks of a job, over all of its occurrences. */
    public static final int MAX_TASKS = 100_000;

    private GraphLimits() {}

    /**
     * Checks a job.
     *
     * @param graph the job
     * @return what is wrong with it, or empty if replicas can hold it
     */
    public static Optional<String> faultOf(GraphProto graph) {
        if (graph.getOccurrences() < 0 || graph.getOccurrences() > MAX_TASKS) {
            return Optional.of("expected: 0 to " + MAX_TASKS + " occurrences, actual: " + graph.getOccurrences());
        }
        long tasks = 0;
        for (int number = 0; number < graph.getStepsCount(); number++) {
            StepProto step = graph.getSteps(number);
            if (step.getCount() < 0) {
                return Optional.of("expected: no negative number of tasks in step " + number);
            }
            if (!dependsOnEarlierSteps(step, number)) {
                return Optional.of("expected: step " + number + " after earlier steps, actual: " + step.getAfterList());
            }
            tasks += step.getCount() * Math.max(1, graph.getOccurrences());
        }
        return tasks <= MAX_TASKS
                ? Optional.empty()
                : Optional.of("expected: at most " + MAX_TASKS + " tasks, actual: " + tasks);
    }

    private static boolean dependsOnEarlierSteps(StepProto step, int number) {
        return step.getAfterList().stream().allMatch(earlier -> earlier >= 0 && earlier < number);
    }
}
