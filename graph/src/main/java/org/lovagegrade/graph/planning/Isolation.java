package org.lovagegrade.graph.planning;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.lovagegrade.graph.machine.TaskRecord;

/**
 * Gives tasks that may crash their worker a worker on which no other job has runs. A job gets one such worker, and one
 * more for each of its suspect tasks that has proved harmless; all jobs together get a limited share of the fleet. So
 * such tasks neither crash many workers at once nor displace much other work. A worker with lasting runs only counts as
 * empty, since it never gets emptier. A task for which no worker gets empty in time takes the one with the fewest runs,
 * which is closed to further ones like an empty one.
 */
final class Isolation {
    private static final int MAX_SHARE_DIVISOR = 3;

    private final List<CandidateWorker> workers;
    private final int maxWorkers;

    Isolation(List<CandidateWorker> workers) {
        this.workers = workers;
        this.maxWorkers = Math.max(1, workers.size() / MAX_SHARE_DIVISOR);
    }

    /**
     * Selects a worker for a suspect task among those that can host it: one that its job has already, an empty one, or if
     * the task may share a worker, the one with the fewest runs.
     */
    Optional<CandidateWorker> select(
            StepDemand demand, boolean mayShareWorker, List<CandidateWorker> from, Predicate<CandidateWorker> canHost) {
        List<CandidateWorker> open = mayIsolateAnother(demand) ? open(mayShareWorker, from) : List.of();
        return from.stream()
                .filter(worker -> worker.isIsolatedFor(demand.job()) || open.contains(worker))
                .filter(canHost)
                .min(Comparator.<CandidateWorker>comparingInt(worker -> worker.isIsolatedFor(demand.job()) ? 0 : 1)
                        .thenComparingInt(CandidateWorker::runs)
                        .thenComparingLong(worker -> worker.free().milliCores()));
    }

    /** The workers that a suspect task may newly get, those with the fewest runs first. */
    List<CandidateWorker> open(boolean mayShareWorker, List<CandidateWorker> from) {
        return from.stream()
                .filter(worker -> mayShareWorker ? !worker.isIsolated() : isUnused(worker))
                .sorted(Comparator.comparingInt(CandidateWorker::runs))
                .toList();
    }

    private static boolean isUnused(CandidateWorker worker) {
        return worker.passingRuns() == 0 && !worker.isIsolated();
    }

    /** Whether the demand's job may have one more worker of its own. */
    boolean mayIsolateAnother(StepDemand demand) {
        long workersOfJob = workers.stream()
                .filter(worker -> worker.isIsolatedFor(demand.job()))
                .count();
        return isolatedWorkers() < maxWorkers && workersOfJob <= harmlessTasks(demand);
    }

    private static long harmlessTasks(StepDemand demand) {
        return demand.step().tasks().stream()
                .filter(TaskRecord::isDone)
                .filter(task -> task.crashHistory().isSuspect())
                .count();
    }

    /** The workers that a gang can have for itself, or share if it may. */
    List<CandidateWorker> openToGang(StepDemand demand, List<CandidateWorker> from) {
        List<CandidateWorker> open = open(demand.maySuspectsShareWorkers(), from);
        return from.stream()
                .filter(worker -> worker.isIsolatedFor(demand.job()) || open.contains(worker))
                .toList();
    }

    /** Whether a gang may have so many workers; if it is the only one, it may, so that a wide one is not held for ever. */
    boolean mayIsolate(long additionalWorkers) {
        long isolated = isolatedWorkers();
        return isolated == 0 || isolated + additionalWorkers <= maxWorkers;
    }

    /** Closes the worker with the fewest runs that end, so that a suspect task of the job can have it once it is empty. */
    void reserve(String job, List<CandidateWorker> eligible) {
        eligible.stream()
                .filter(worker -> !worker.isIsolated())
                .min(Comparator.comparingInt(CandidateWorker::passingRuns).thenComparingInt(CandidateWorker::runs))
                .ifPresent(worker -> worker.isolate(job));
    }

    private long isolatedWorkers() {
        return workers.stream().filter(CandidateWorker::isIsolated).count();
    }
}
