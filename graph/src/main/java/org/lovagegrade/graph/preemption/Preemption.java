package org.lovagegrade.graph.preemption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;

/**
 * Selects runs to stop for more urgent tasks. For each task it takes the worker where the least work is lost, and never
 * loses more work than the tasks bring. All members of a gang get capacity, or nothing is stopped for it.
 *
 * <p>Example: {@code List<StopDecision> stops = new Preemption(freeByWorker, runs, 400_000).decide(requests);}
 */
public final class Preemption {
    private final Map<String, ResourceVector> freeByWorker;
    private final Map<String, List<Unit>> unitsByWorker = new HashMap<>();
    private final Set<Unit> stopped = new LinkedHashSet<>();
    private long stoppableMilliCores;

    /** Runs that are stopped together. */
    private static final class Unit {
        private final int priority;
        private final List<StoppableRun> runs = new ArrayList<>();
        private long lostCoreMs;
        private long milliCores;

        Unit(int priority) {
            this.priority = priority;
        }

        void add(StoppableRun run) {
            runs.add(run);
            lostCoreMs += run.lostCoreMs();
            milliCores += run.amount().milliCores();
        }

        ResourceVector amountOn(String worker) {
            ResourceVector amount = ResourceVector.NONE;
            for (StoppableRun run : runs) {
                amount = run.worker().equals(worker) ? amount.plus(run.amount()) : amount;
            }
            return amount;
        }

        /** The work lost for each thousandth of a core that a worker gains. */
        double lossPerMilliCore(String worker) {
            return (double) lostCoreMs / Math.max(1, amountOn(worker).milliCores());
        }
    }

    /** A way to make a task fit on a worker. */
    private record Option(String worker, List<Unit> units, long lostCoreMs) {}

    /**
     * Creates a decision about one moment.
     *
     * @param freeByWorker the resources of each worker, by its id, that will be free once a stop has taken effect
     * @param runs the runs that may be stopped, in whole gangs
     * @param stoppableMilliCores the bound on the cores of all stopped runs, in thousandths of a core
     */
    public Preemption(
            Map<String, ResourceVector> freeByWorker, Collection<StoppableRun> runs, long stoppableMilliCores) {
        this.freeByWorker = new HashMap<>(freeByWorker);
        this.stoppableMilliCores = stoppableMilliCores;
        Map<String, Unit> unitsByName = new LinkedHashMap<>();
        for (StoppableRun run : runs) {
            unitsByName
                    .computeIfAbsent(run.unit(), _unit -> new Unit(run.priority()))
                    .add(run);
        }
        for (Unit unit : unitsByName.values()) {
            unit.runs.stream()
                    .map(StoppableRun::worker)
                    .distinct()
                    .forEach(worker -> unitsByWorker
                            .computeIfAbsent(worker, _worker -> new ArrayList<>())
                            .add(unit));
        }
    }

    /**
     * Selects the runs to stop.
     *
     * @param requests the tasks without capacity, the most urgent first
     * @return the decisions that stop runs, in the order of the requests
     */
    public List<StopDecision> decide(List<CapacityRequest> requests) {
        List<StopDecision> decisions = new ArrayList<>();
        for (CapacityRequest request : requests) {
            Draft draft = new Draft(request);
            if (draft.place()) {
                draft.commit().ifPresent(decisions::add);
            }
        }
        return decisions;
    }

    /** The changes for one request, which take effect together or not at all. */
    private final class Draft {
        private final CapacityRequest request;
        private final Map<String, ResourceVector> changedFree = new HashMap<>();
        private final Map<String, Integer> tasksByWorker = new HashMap<>();
        private final Set<Unit> draftStops = new LinkedHashSet<>();
        private long lostCoreMs;
        private long milliCores;

        Draft(CapacityRequest request) {
            this.request = request;
        }

        /** Returns whether the tasks get capacity: all members of a gang, or at least one other task. */
        boolean place() {
            PriorityQueue<Option> cheapestFirst = new PriorityQueue<>(Comparator.comparingLong(Option::lostCoreMs)
                    .thenComparingInt(option -> option.units().size()));
            request.workers().forEach(worker -> option(worker).ifPresent(cheapestFirst::add));
            int placed = 0;
            while (placed < request.tasks() && !cheapestFirst.isEmpty()) {
                String worker = cheapestFirst.poll().worker();
                // The stop of a gang for an earlier task may have freed capacity here as well.
                Optional<Option> current = option(worker).filter(this::isWithinBudget);
                if (current.isPresent() && isWorthwhile(current.get(), placed + 1)) {
                    apply(current.get());
                    placed++;
                    option(worker).ifPresent(cheapestFirst::add);
                }
            }
            return request.isGang() ? placed == request.tasks() : placed > 0;
        }

        private boolean isWithinBudget(Option option) {
            long added =
                    option.units().stream().mapToLong(unit -> unit.milliCores).sum();
            return milliCores + added <= stoppableMilliCores;
        }

        private boolean isWorthwhile(Option option, int placed) {
            int served = request.isGang() ? request.tasks() : placed;
            return lostCoreMs + option.lostCoreMs() <= served * request.perTaskCoreMs();
        }

        private Optional<Option> option(String worker) {
            ResourceVector free = freeOf(worker);
            if (free == null || tasksByWorker.getOrDefault(worker, 0) >= request.maxPerWorker()) {
                return Optional.empty();
            }
            List<Unit> selected = new ArrayList<>();
            for (Unit unit : cheapestUnits(worker)) {
                if (request.perTask().fitsInto(free)) {
                    break;
                }
                selected.add(unit);
                free = free.plus(unit.amountOn(worker));
            }
            return request.perTask().fitsInto(free)
                    ? Optional.of(withoutSuperfluous(worker, selected, free))
                    : Optional.empty();
        }

        private ResourceVector freeOf(String worker) {
            ResourceVector changed = changedFree.get(worker);
            return changed == null ? freeByWorker.get(worker) : changed;
        }

        private List<Unit> cheapestUnits(String worker) {
            return unitsByWorker.getOrDefault(worker, List.of()).stream()
                    .filter(unit -> unit.priority > request.priority())
                    .filter(unit -> !stopped.contains(unit) && !draftStops.contains(unit))
                    .sorted(Comparator.comparingDouble(unit -> unit.lossPerMilliCore(worker)))
                    .toList();
        }

        /** Drops the costliest units without which the task fits too. */
        private Option withoutSuperfluous(String worker, List<Unit> selected, ResourceVector freeWithAll) {
            List<Unit> needed = new ArrayList<>(selected);
            ResourceVector free = freeWithAll;
            List<Unit> costliestFirst = selected.stream()
                    .sorted(Comparator.comparingLong((Unit unit) -> unit.lostCoreMs)
                            .reversed())
                    .toList();
            for (Unit unit : costliestFirst) {
                ResourceVector without = free.minus(unit.amountOn(worker));
                if (request.perTask().fitsInto(without)) {
                    needed.remove(unit);
                    free = without;
                }
            }
            return new Option(
                    worker,
                    needed,
                    needed.stream().mapToLong(unit -> unit.lostCoreMs).sum());
        }

        private void apply(Option option) {
            for (Unit unit : option.units()) {
                draftStops.add(unit);
                lostCoreMs += unit.lostCoreMs;
                milliCores += unit.milliCores;
                for (StoppableRun run : unit.runs) {
                    addFree(run.worker(), run.amount());
                }
            }
            addFree(option.worker(), ResourceVector.NONE.minus(request.perTask()));
            tasksByWorker.merge(option.worker(), 1, Integer::sum);
        }

        private void addFree(String worker, ResourceVector amount) {
            ResourceVector free = freeOf(worker);
            if (free != null) {
                changedFree.put(worker, free.plus(amount));
            }
        }

        /** Makes the changes final; empty if the tasks need no stops, since enough capacity is about to be free. */
        Optional<StopDecision> commit() {
            freeByWorker.putAll(changedFree);
            stopped.addAll(draftStops);
            stoppableMilliCores -= milliCores;
            List<RunKey> runs = draftStops.stream()
                    .flatMap(unit -> unit.runs.stream())
                    .map(StoppableRun::key)
                    .toList();
            return runs.isEmpty() ? Optional.empty() : Optional.of(new StopDecision(request.step(), runs, lostCoreMs));
        }
    }
}
