package org.lovagegrade.graph.planning;

/**
 * A worker that a question to the adviser may name.
 *
 * @param worker the worker
 * @param tasks the number of tasks of the step that it can run
 * @param probability the probability that the adviser allows it, 1 if the adviser did so before
 */
record TicketOption(CandidateWorker worker, int tasks, double probability) {
    boolean isKnown() {
        return probability >= 1;
    }
}
