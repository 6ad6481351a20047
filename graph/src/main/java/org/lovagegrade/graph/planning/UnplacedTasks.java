package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.List;

/**
 * Tasks that could meet their objective but found no capacity.
 *
 * @param demand their step
 * @param tasks the number of tasks; all members for a gang
 * @param allowed the workers that the step may use now
 * @param stale the workers that the step may use with a new ticket
 */
public record UnplacedTasks(StepDemand demand, int tasks, List<CandidateWorker> allowed, List<CandidateWorker> stale) {
    /**
     * The workers that may run the tasks: neither isolated, nor held for a gang that the tasks would delay.
     *
     * @return the workers
     */
    public List<CandidateWorker> workers() {
        List<CandidateWorker> workers = new ArrayList<>(allowed);
        workers.addAll(stale);
        workers.removeIf(worker -> worker.isIsolated() || worker.isHeldAgainst(demand.priority()));
        return workers;
    }
}
