package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Finds workers for all tasks of a gang at once: within one rack if possible, else within one failure domain, else
 * anywhere in the cell.
 */
final class GangSearch {
    private record Slots(WorkerState worker, long count) {}

    private static final Comparator<Slots> MOST_FIRST =
            Comparator.comparingLong(Slots::count).reversed().thenComparing(Slots::worker, WorkerState.BY_ID);

    private GangSearch() {}

    /** One worker per task, in task order, or empty if the gang does not fit. */
    static Optional<List<WorkerState>> find(Cell cell, JobState job) {
        List<Slots> all = slots(cell, job);
        List<Function<WorkerState, String>> scopes = List.of(
                worker -> worker.spec.failureDomain() + "/" + worker.spec.rack(),
                worker -> worker.spec.failureDomain(),
                _worker -> "");
        for (Function<WorkerState, String> scope : scopes) {
            List<Slots> chosen = smallestSufficient(all, scope, job.tasks.length);
            if (chosen != null) {
                return Optional.of(assign(chosen, job.tasks.length));
            }
        }
        return Optional.empty();
    }

    private static List<Slots> slots(Cell cell, JobState job) {
        List<Slots> slots = new ArrayList<>();
        for (WorkerState worker : cell.workers()) {
            if (!worker.free.covers(job.plannedPerTask) || !cell.isEligible(worker, job)) {
                continue;
            }
            slots.add(new Slots(worker, worker.free.fitCount(job.plannedPerTask)));
        }
        return slots;
    }

    /** Groups workers by scope and returns the group with the fewest slots that fits all tasks, or null. */
    private static List<Slots> smallestSufficient(List<Slots> all, Function<WorkerState, String> scope, int tasks) {
        Map<String, List<Slots>> byScope = new TreeMap<>();
        for (Slots slots : all) {
            byScope.computeIfAbsent(scope.apply(slots.worker()), _unused -> new ArrayList<>())
                    .add(slots);
        }
        List<Slots> best = null;
        long bestTotal = Long.MAX_VALUE;
        for (List<Slots> group : byScope.values()) {
            long total = group.stream().mapToLong(Slots::count).sum();
            if (total >= tasks && total < bestTotal) {
                best = group;
                bestTotal = total;
            }
        }
        return best;
    }

    /** Fills the workers with the most slots first, so that the gang spans few workers. */
    private static List<WorkerState> assign(List<Slots> chosen, int tasks) {
        List<Slots> ordered = new ArrayList<>(chosen);
        ordered.sort(MOST_FIRST);
        List<WorkerState> workers = new ArrayList<>();
        for (Slots slots : ordered) {
            for (long i = 0; i < slots.count() && workers.size() < tasks; i++) {
                workers.add(slots.worker());
            }
        }
        return workers;
    }
}
