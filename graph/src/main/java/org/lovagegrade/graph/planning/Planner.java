package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lovagegrade.graph.advice.Verdict;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;

/**
 * Makes one plan: visits the steps in order and places their tasks on suitable workers. A step that fits but lacks a
 * valid ticket requests one, and its capacity is held back from the steps after it. The first gangs that don't fit
 * hold workers against work of a lower priority, so that smaller tasks don't starve them.
 *
 * <p>Example: {@code Plan plan = new Planner(workers, advice, quotas).plan(demands);}
 */
public final class Planner {
    /** The number of waiting gangs that may hold workers in one plan. */
    private static final int MAX_GANGS_WITH_RESERVATION = 2;
    /** The number of waiting gangs whose start may be predicted in one plan, which takes a pass over all runs. */
    private static final int MAX_GANGS_CONSIDERED = 4;

    private static final int HIGHEST_PRIORITY = -1;

    private final List<CandidateWorker> workers;
    private final AdviceLookup advice;
    private final WorkspaceQuotas quotas;
    private final List<Placement> placements = new ArrayList<>();
    private final TicketRequests ticketRequests;
    private final Isolation isolation;
    private final GangReservations reservations;
    private final RunTimes runTimes;
    private final long nowMs;
    private int gangsWithReservation;
    private int gangsConsidered;

    /**
     * Creates a planner for one plan.
     *
     * @param workers the workers that may receive starts; their free resources change during planning
     * @param advice the adviser's verdicts
     * @param quotas the limits and the usage of workspaces; the usage changes during planning
     * @param reservations the workers held for gangs, from one plan to the next
     * @param runTimes predicts run times
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    public Planner(
            List<CandidateWorker> workers,
            AdviceLookup advice,
            WorkspaceQuotas quotas,
            GangReservations reservations,
            RunTimes runTimes,
            long nowMs) {
        this.workers = workers;
        this.advice = advice;
        this.quotas = quotas;
        this.reservations = reservations;
        this.runTimes = runTimes;
        this.nowMs = nowMs;
        this.isolation = new Isolation(workers);
        this.ticketRequests = new TicketRequests(advice);
    }

    /**
     * Makes the plan.
     *
     * @param demands the steps with tasks to start, the most urgent first
     * @return the starts, and the advice that is needed for others
     */
    public Plan plan(List<StepDemand> demands) {
        workers.forEach(CandidateWorker::removeHold);
        for (StepDemand demand : demands) {
            if (demand.step().spec().getGang()) {
                planGang(demand);
            } else {
                planTasks(demand);
            }
        }
        reservations.removeExpired(nowMs);
        return new Plan(List.copyOf(placements), ticketRequests.requests());
    }

    // --- single tasks

    private void planTasks(StepDemand demand) {
        Candidates candidates = candidates(demand);
        Map<Boolean, List<Integer>> waiting =
                demand.waiting().stream().collect(Collectors.partitioningBy(demand.isSuspect()::test));
        planSoundTasks(demand, candidates, waiting.get(false));
        planSuspectTasks(demand, candidates, waiting.get(true));
    }

    private void planSoundTasks(StepDemand demand, Candidates candidates, List<Integer> waiting) {
        ResourceVector need = demand.step().perTask();
        int unplaced = 0;
        for (int position = 0; position < waiting.size(); position++) {
            if (!quotas.allows(workspace(demand), need)) {
                break;
            }
            int index = waiting.get(position);
            Optional<CandidateWorker> selected = selectWorker(demand, index, candidates.allowed);
            if (selected.isEmpty()) {
                unplaced = waiting.size() - position;
                break;
            }
            place(demand, index, demand.step().tasks().get(index).run() + 1, selected.get());
        }
        if (unplaced > 0 && demand.needsTicket()) {
            requestAdvice(demand, candidates, unplaced);
        }
    }

    private void planSuspectTasks(StepDemand demand, Candidates candidates, List<Integer> waiting) {
        ResourceVector need = demand.step().perTask();
        for (int index : waiting) {
            if (!quotas.allows(workspace(demand), need)) {
                return;
            }
            boolean mayShareWorker = demand.mayShareWorker().test(index);
            Optional<CandidateWorker> selected =
                    isolation.select(demand, mayShareWorker, candidates.allowed, worker -> hasRoom(demand, worker));
            if (selected.isEmpty()) {
                prepareIsolation(demand, mayShareWorker, candidates);
                return;
            }
            selected.get().isolate(demand.job());
            place(demand, index, demand.step().tasks().get(index).run() + 1, selected.get());
        }
    }

    /**
     * Requests tickets for workers on which a suspect task could start, or keeps a worker free of further runs until it
     * is empty.
     */
    private void prepareIsolation(StepDemand demand, boolean mayShareWorker, Candidates candidates) {
        if (!isolation.mayIsolateAnother(demand)) {
            return;
        }
        List<CandidateWorker> openAndStale = openWithRoom(demand, mayShareWorker, candidates.stale);
        boolean isKnown = !openAndStale.isEmpty();
        List<CandidateWorker> withoutTicket =
                isKnown ? openAndStale : openWithRoom(demand, mayShareWorker, candidates.unknown);
        if (!withoutTicket.isEmpty()) {
            isolation.reserve(demand.job(), withoutTicket);
            ticketRequests.requestAny(demand, withoutTicket, isKnown);
            return;
        }
        if (mayShareWorker) {
            return;
        }
        List<CandidateWorker> eligible = new ArrayList<>(candidates.allowed);
        eligible.addAll(candidates.stale);
        eligible.addAll(candidates.unknown);
        isolation.reserve(demand.job(), eligible);
    }

    private List<CandidateWorker> openWithRoom(StepDemand demand, boolean mayShareWorker, List<CandidateWorker> from) {
        return isolation.open(mayShareWorker, from).stream()
                .filter(worker -> !mayShareWorker || hasRoom(demand, worker))
                .toList();
    }

    /** Selects the best fit: not an avoided worker, then near the data, then with the fewest free cores. */
    private Optional<CandidateWorker> selectWorker(StepDemand demand, int index, List<CandidateWorker> from) {
        Set<String> avoided = demand.avoidedWorkers().apply(index);
        return from.stream()
                .filter(worker -> canHost(demand, worker))
                .min(Comparator.<CandidateWorker>comparingInt(worker -> avoided.contains(worker.id()) ? 1 : 0)
                        .thenComparingInt(worker -> isNearData(demand, worker) ? 0 : 1)
                        .thenComparingLong(worker -> worker.free().milliCores()));
    }

    private boolean canHost(StepDemand demand, CandidateWorker worker) {
        return isOpen(demand, worker) && hasRoom(demand, worker);
    }

    private static boolean isOpen(StepDemand demand, CandidateWorker worker) {
        return !worker.isIsolated() || (demand.hasSuspects() && worker.isIsolatedFor(demand.job()));
    }

    private boolean hasRoom(StepDemand demand, CandidateWorker worker) {
        return demand.step().perTask().fitsInto(worker.free()) && fitting(demand, worker, 1) > 0;
    }

    /** How many tasks of a step a worker can take now without delaying a gang, at most {@code max}. */
    private static int fitting(StepDemand demand, CandidateWorker worker, int max) {
        ResourceVector need = demand.step().perTask();
        int limit = Math.min(max, remainingStepTasks(demand, worker));
        return limit <= 0 || !worker.isOpenTo(demand.priority()) ? 0 : need.timesInto(worker.free(), limit);
    }

    private long endMs(StepRecord step) {
        return CapacityRelease.endOf(nowMs, runTimes.expectedMs(step));
    }

    private static boolean isNearData(StepDemand demand, CandidateWorker worker) {
        String rack = demand.step().spec().getDataRack();
        return rack.isEmpty() || rack.equals(worker.info().getRack());
    }

    // --- gangs

    private void planGang(StepDemand demand) {
        StepRecord step = demand.step();
        int members = step.tasks().size();
        boolean allWait = demand.waiting().size() == members;
        ResourceVector total = step.perTask().times(members);
        if (!allWait || !quotas.allows(workspace(demand), total)) {
            return;
        }
        Candidates candidates = candidates(demand);
        boolean isSuspect = demand.hasSuspects();
        List<CandidateWorker> allowed =
                isSuspect ? isolation.openToGang(demand, candidates.allowed) : candidates.allowed;
        List<CandidateWorker> selected = selectWorkers(demand, allowed, members);
        if (isSuspect && !isolation.mayIsolate(selected.stream().distinct().count())) {
            return;
        }
        if (selected.size() == members) {
            if (isSuspect) {
                selected.forEach(worker -> worker.isolate(demand.job()));
            }
            reservations.release(step.name());
            int run = step.nextGangRun();
            for (int index = 0; index < members; index++) {
                place(demand, index, run, selected.get(index));
            }
            return;
        }
        boolean waitsForTicketOnly = demand.needsTicket() && requestAdvice(demand, candidates, members);
        if (!waitsForTicketOnly) {
            reserve(demand, candidates, members);
        }
    }

    /**
     * Returns a worker for each task, several times if it can run several; fewer than {@code members} if not all fit.
     * Prefers few workers, since a gang is lost with any of them, and a single rack for a step that asks for it.
     */
    private List<CandidateWorker> selectWorkers(StepDemand demand, List<CandidateWorker> from, int members) {
        if (demand.step().spec().getRackLocal()) {
            Map<String, List<CandidateWorker>> racks = new LinkedHashMap<>();
            from.forEach(worker -> racks.computeIfAbsent(worker.info().getRack(), _rack -> new ArrayList<>())
                    .add(worker));
            for (List<CandidateWorker> rack : racks.values()) {
                List<CandidateWorker> selected = selectAcrossRacks(demand, rack, members);
                if (selected.size() == members) {
                    return selected;
                }
            }
        }
        return selectAcrossRacks(demand, from, members);
    }

    private List<CandidateWorker> selectAcrossRacks(StepDemand demand, List<CandidateWorker> from, int members) {
        Set<String> avoided = workersAvoidedByGang(demand);
        List<Room> rooms = from.stream()
                .filter(worker -> canHost(demand, worker))
                .map(worker -> new Room(worker, fitting(demand, worker, members)))
                .sorted(Comparator.<Room>comparingInt(
                                room -> room.worker.isUnreliable() || avoided.contains(room.worker.id()) ? 1 : 0)
                        .thenComparingInt(room -> isNearData(demand, room.worker) ? 0 : 1)
                        .thenComparingInt(room -> -room.tasks)
                        .thenComparingLong(room -> room.worker.free().milliCores()))
                .toList();
        List<CandidateWorker> selected = new ArrayList<>();
        for (Room room : rooms) {
            for (int count = 0; count < room.tasks && selected.size() < members; count++) {
                selected.add(room.worker);
            }
        }
        return selected;
    }

    /** A worker with the number of tasks that it can take. */
    private record Room(CandidateWorker worker, int tasks) {}

    private static Set<String> workersAvoidedByGang(StepDemand demand) {
        return demand.waiting().stream()
                .flatMap(index -> demand.avoidedWorkers().apply(index).stream())
                .collect(Collectors.toSet());
    }

    private static int remainingStepTasks(StepDemand demand, CandidateWorker worker) {
        int limit = demand.step().spec().getMostPerWorker();
        return limit <= 0
                ? Integer.MAX_VALUE
                : limit - worker.tasksOf(demand.step().name());
    }

    /** Holds workers for a gang that doesn't fit now: enough to run all members at the same time. */
    private void reserve(StepDemand demand, Candidates candidates, int members) {
        List<CandidateWorker> eligible = new ArrayList<>(candidates.allowed);
        eligible.addAll(candidates.stale);
        boolean mayReserve = gangsWithReservation < MAX_GANGS_WITH_RESERVATION
                && gangsConsidered < MAX_GANGS_CONSIDERED
                && !reservations.isPaused(demand.step().name(), nowMs);
        if (eligible.isEmpty() || !mayReserve) {
            return;
        }
        gangsConsidered++;
        boolean hasSuspects = demand.hasSuspects();
        int priority = hasSuspects ? HIGHEST_PRIORITY : demand.priority();
        boolean needsEmptyWorkers = hasSuspects && !demand.maySuspectsShareWorkers();
        boolean isHeld = reservations.hold(
                new GangRequest(demand.step(), members, priority, needsEmptyWorkers), eligible, nowMs);
        gangsWithReservation += isHeld ? 1 : 0;
    }

    // --- advice

    /** The workers that are suitable for a step, by the adviser's verdict. */
    private static final class Candidates {
        final List<CandidateWorker> allowed = new ArrayList<>();
        final List<CandidateWorker> stale = new ArrayList<>();
        final List<CandidateWorker> unknown = new ArrayList<>();
    }

    private Candidates candidates(StepDemand demand) {
        Candidates found = new Candidates();
        String requiredLabel = demand.step().spec().getRequiredLabel();
        for (CandidateWorker worker : workers) {
            boolean isSuitable = worker.info().getPool().equals(demand.queue().getPool())
                    && (requiredLabel.isEmpty() || worker.info().getLabelsList().contains(requiredLabel));
            if (!isSuitable) {
                continue;
            }
            Verdict verdict =
                    demand.needsTicket() ? advice.verdict(demand.step().name(), worker.id()) : Verdict.ALLOWED;
            switch (verdict) {
                case ALLOWED -> found.allowed.add(worker);
                case STALE -> found.stale.add(worker);
                case UNKNOWN -> found.unknown.add(worker);
                case DENIED -> {}
            }
        }
        return found;
    }

    /**
     * Requests the tickets with which further tasks could start now, and holds back the capacity for these tasks.
     * Returns whether there is such capacity: for all members of a gang, or for at least one other task.
     */
    private boolean requestAdvice(StepDemand demand, Candidates candidates, int tasks) {
        List<CandidateWorker> known = new ArrayList<>(candidates.allowed);
        known.addAll(candidates.stale);
        List<CandidateWorker> selected = selectWorkers(demand, openTo(demand, known), tasks);
        boolean isFeasible = demand.step().spec().getGang() ? selected.size() == tasks : !selected.isEmpty();
        boolean isRequested = ticketRequests.request(
                demand,
                new TicketRequests.Suitable(
                        openTo(demand, candidates.allowed),
                        openTo(demand, candidates.stale),
                        openTo(demand, candidates.unknown)),
                tasks,
                worker -> isOpen(demand, worker) ? fitting(demand, worker, tasks) : 0,
                worker -> isOpen(demand, worker) ? fittingWhenEmpty(demand, worker, tasks) : 0);
        // Questions about useless work wait for long, and must not keep capacity from other work meanwhile.
        boolean isAnswerSoon = demand.urgency() != Urgency.OVERDUE
                || advice.isPending(demand.step().name());
        if (isFeasible && isRequested && isAnswerSoon) {
            selected.forEach(worker -> worker.allocate(demand.step().perTask()));
        }
        return isFeasible;
    }

    /** Returns the workers that a gang may have, which are fewer if a member may crash its worker. */
    private List<CandidateWorker> openTo(StepDemand demand, List<CandidateWorker> from) {
        boolean isSuspectGang = demand.step().spec().getGang() && demand.hasSuspects();
        return isSuspectGang ? isolation.openToGang(demand, from) : from;
    }

    private static int fittingWhenEmpty(StepDemand demand, CandidateWorker worker, int max) {
        ResourceVector capacity = ResourceVector.of(worker.info().getCapacity());
        return Math.min(demand.step().perTask().timesInto(capacity, max), remainingStepTasks(demand, worker));
    }

    private void place(StepDemand demand, int index, int run, CandidateWorker worker) {
        ResourceVector need = demand.step().perTask();
        worker.addStart(demand.step(), endMs(demand.step()));
        quotas.allocate(workspace(demand), need);
        placements.add(new Placement(demand.step(), index, run, worker.info()));
    }

    private static String workspace(StepDemand demand) {
        return demand.step().job().graph().getWorkspace();
    }
}
