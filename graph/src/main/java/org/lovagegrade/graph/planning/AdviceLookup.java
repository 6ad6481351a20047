package org.lovagegrade.graph.planning;

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
     * Whether a question about a step is pending.
     *
     * @param step the step's name
     * @return true while a question is queued or unanswered
     */
    boolean isPending(String step);
}
