package org.lovagegrade.graph.planning;

import org.lovagegrade.graph.advice.Verdict;

/** What is known about a step on a worker. */
public interface AdviceLookup {
    /**
     * Looks a verdict up.
     *
     * @param step the step's name
     * @param worker the id of the worker
     * @return the verdict
     */
    Verdict verdict(String step, String worker);

    /**
     * Whether the adviser is being asked about a step.
     *
     * @param step the step's name
     * @return true while it is
     */
    boolean isPending(String step);
}
