package org.lovagegrade.graph.planning;

/**
 * A worker that a question to the adviser may name.
 *
 * @param worker the worker
 * @param tasks the number of tasks of the step that it can run
 * @param probability the probability that it is allowed and has room for these tasks while the ticket is valid
 * @param isHeld whether the planner holds back its capacity for these tasks
 */
record TicketOption(CandidateWorker worker, int tasks, double probability, boolean isHeld) {
    double expectedTasks() {
        return tasks * probability;
    }

    /** The same worker, on which no task is expected to start while the ticket is valid. */
    TicketOption forVerdictOnly() {
        return new TicketOption(worker, tasks, 0, isHeld);
    }
}
