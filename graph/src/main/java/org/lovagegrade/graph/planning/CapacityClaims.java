package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.lovagegrade.graph.machine.ResourceVector;

/** The capacity on each worker that the steps of other questions will probably use, once these are answered. */
final class CapacityClaims {
    private final Map<String, Double> milliCoresByWorker = new HashMap<>();

    /** The thousandths of a core that are claimed on a worker. */
    double milliCores(CandidateWorker worker) {
        return milliCoresByWorker.getOrDefault(worker.id(), 0.0);
    }

    /** How many tasks of a step fit on a worker beside the claims. */
    int unclaimedFit(StepDemand demand, CandidateWorker worker, ToIntFunction<CandidateWorker> fit) {
        double claimed = milliCores(worker);
        long perTask = demand.step().perTask().milliCores();
        if (claimed <= 0 || perTask <= 0) {
            return fit.applyAsInt(worker);
        }
        int fitting = (int) Math.max(0, (worker.free().milliCores() - claimed) / perTask);
        return Math.min(fit.applyAsInt(worker), fitting);
    }

    /** Spreads the wanted tasks over the named workers, by how many each will probably run. */
    void add(StepDemand demand, List<TicketOption> options, int tasks) {
        double expected =
                options.stream().mapToDouble(TicketOption::expectedTasks).sum();
        double scale = Math.min(1, tasks / Math.max(1, expected));
        ResourceVector perTask = demand.step().perTask();
        for (TicketOption option : options) {
            if (!option.isHeld()) {
                double milliCores = option.expectedTasks() * scale * perTask.milliCores();
                milliCoresByWorker.merge(option.worker().id(), milliCores, Double::sum);
            }
        }
    }
}
