package org.lovagegrade.graph.planning;

import java.util.List;
import org.lovagegrade.graph.advice.Verdict;

/** The adviser's verdicts, as the planner sees them. */
public interface AdviceLookup {
    /**
     * Returns the verdict on running a step on a worker.
     *
     * @param step the step's name
     * @param worker the id of the worker
     * @return the verdict
     */
    Verdict verdict(String step, String worker);

    /**
     * Whether a question about a step was sent and is not answered.
     *
     * @param step the step's name
     * @return true until the answer or the timeout
     */
    boolean isPending(String step);

    /**
     * Whether the question about a step that was sent and is not answered is a background question.
     *
     * @param _step the step's name
     * @return true if so; false without such a question
     */
    default boolean isPendingInBackground(String _step) {
        return false;
    }

    /**
     * The workers that the unanswered question about a step names.
     *
     * @param _step the step's name
     * @return the ids of the workers; empty if no question is pending
     */
    default List<String> workersAsked(String _step) {
        return List.of();
    }

    /**
     * How long the ticket of a step on a worker remains valid.
     *
     * @param step the step's name
     * @param worker the id of the worker
     * @return the remaining time in milliseconds, 0 if there is no valid ticket
     */
    default long remainingMs(String step, String worker) {
        return verdict(step, worker) == Verdict.ALLOWED ? Long.MAX_VALUE : 0;
    }

    /**
     * The measured fraction of workers that may run the steps of a queue.
     *
     * @param _queue the queue's name
     * @return the fraction, greater than 0 and less than 1
     */
    default double allowedShare(String _queue) {
        return 0.5;
    }
}
