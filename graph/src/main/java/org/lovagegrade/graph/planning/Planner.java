package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagegrade.graph.advice.Verdict;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.AdviceCostProto;
import org.lovagegrade.wire.proto.StepProto;

/**
 * Makes one plan: goes through the steps in their order and gives each the workers that suit it. A step that has room
 * but no good ticket asks for one and keeps the room from those behind it meanwhile; the first gangs that find no room
 * keep workers from queues of lower rank, so that they get their turn.
 *
 * <p>Example: {@code Plan plan = new Planner(workers, tickets, quotas).plan(demands);}
 */
public final class Planner {
    /** How many waiting gangs may keep workers from lower ranks at once. */
    private static final int MOST_GANGS_WITH_RESERVATION = 2;
    /** A question names as many workers as raise its cost by this share, */
    private static final double NAMES_SHARE_OF_COST = 0.4;
    /** but at least this many, */
    private static final int LEAST_NAMES = 8;
    /** and no more than an adviser takes. */
    private static final int MOST_NAMES = 100;

    private final List<CandidateWorker> workers;
    private final AdviceLookup tickets;
    private final WorkspaceQuotas quotas;
    private final List<Placement> placements = new ArrayList<>();
    private final List<AdviceRequest> wishes = new ArrayList<>();
    private int reservations;

    /**
     * Creates a planner for one plan.
     *
     * @param workers the workers that may take starts
     * @param tickets what the adviser has said
     * @param quotas the limits of workspaces
     */
    public Planner(List<CandidateWorker> workers, AdviceLookup tickets, WorkspaceQuotas quotas) {
        this.workers = workers;
        this.tickets = tickets;
        this.quotas = quotas;
    }

    /**
     * Makes the plan.
     *
     * @param demands the steps with tasks to start, the most urgent first
     * @return starts and questions
     */
    public Plan plan(List<StepDemand> demands) {
        for (StepDemand demand : demands) {
            if (demand.step().spec().getGang()) {
                planGang(demand);
            } else {
                planTasks(demand);
            }
        }
        return new Plan(List.copyOf(placements), List.copyOf(wishes));
    }

    // --- single tasks

    private void planTasks(StepDemand demand) {
        Candidates candidates = candidates(demand);
        ResourceVector need = demand.step().perTask();
        int missing = 0;
        for (int index : demand.waiting()) {
            if (!quotas.allows(workspace(demand), need)) {
                break;
            }
            Optional<CandidateWorker> chosen = best(demand, index, candidates.good);
            if (chosen.isEmpty()) {
                missing = demand.waiting().size() - demand.waiting().indexOf(index);
                break;
            }
            place(demand, index, demand.step().tasks().get(index).run() + 1, chosen.get());
        }
        if (missing > 0 && demand.needsTicket()) {
            ask(demand, candidates, missing);
        }
    }

    private static Optional<CandidateWorker> best(StepDemand demand, int index, List<CandidateWorker> from) {
        ResourceVector need = demand.step().perTask();
        Set<String> avoided = demand.avoided().apply(index);
        return from.stream()
                .filter(worker -> fits(demand, worker, need))
                .min(Comparator.<CandidateWorker>comparingInt(worker -> avoided.contains(worker.id()) ? 1 : 0)
                        .thenComparingInt(worker -> isNearData(demand, worker) ? 0 : 1)
                        .thenComparingLong(worker -> worker.free().milliCores()));
    }

    private static boolean fits(StepDemand demand, CandidateWorker worker, ResourceVector need) {
        StepProto spec = demand.step().spec();
        boolean isApart =
                spec.getMostPerWorker() <= 0 || worker.tasksOf(demand.step().name()) < spec.getMostPerWorker();
        return isApart && need.fitsInto(worker.free()) && worker.isOpenTo(demand.priority());
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
        List<CandidateWorker> chosen = choose(demand, candidates.good, members);
        if (chosen.size() == members) {
            int run = step.nextGangRun();
            for (int index = 0; index < members; index++) {
                place(demand, index, run, chosen.get(index));
            }
            return;
        }
        boolean waitsForTicketOnly = demand.needsTicket() && ask(demand, candidates, members);
        if (!waitsForTicketOnly) {
            reserve(demand, candidates, members);
        }
    }

    /** The workers for all members, with repetition; fewer if there is no room for all. */
    private List<CandidateWorker> choose(StepDemand demand, List<CandidateWorker> from, int members) {
        if (demand.step().spec().getRackLocal()) {
            Map<String, List<CandidateWorker>> racks = new LinkedHashMap<>();
            from.forEach(worker -> racks.computeIfAbsent(worker.info().getRack(), _rack -> new ArrayList<>())
                    .add(worker));
            for (List<CandidateWorker> rack : racks.values()) {
                List<CandidateWorker> chosen = chooseAnywhere(demand, rack, members);
                if (chosen.size() == members) {
                    return chosen;
                }
            }
        }
        return chooseAnywhere(demand, from, members);
    }

    private List<CandidateWorker> chooseAnywhere(StepDemand demand, List<CandidateWorker> from, int members) {
        ResourceVector need = demand.step().perTask();
        List<CandidateWorker> byRoom = from.stream()
                .filter(worker -> fits(demand, worker, need))
                .sorted(Comparator.<CandidateWorker>comparingInt(worker -> isAvoidedByGang(demand, worker) ? 1 : 0)
                        .thenComparingInt(worker -> isNearData(demand, worker) ? 0 : 1)
                        .thenComparingLong(worker -> -worker.free().milliCores()))
                .toList();
        List<CandidateWorker> chosen = new ArrayList<>();
        for (CandidateWorker worker : byRoom) {
            int places = Math.min(need.timesInto(worker.free(), members), mostOn(demand, worker));
            for (int place = 0; place < places && chosen.size() < members; place++) {
                chosen.add(worker);
            }
        }
        return chosen;
    }

    private static boolean isAvoidedByGang(StepDemand demand, CandidateWorker worker) {
        return demand.waiting().stream()
                .anyMatch(index -> demand.avoided().apply(index).contains(worker.id()));
    }

    private static int mostOn(StepDemand demand, CandidateWorker worker) {
        int most = demand.step().spec().getMostPerWorker();
        return most <= 0
                ? Integer.MAX_VALUE
                : most - worker.tasksOf(demand.step().name());
    }

    /** Keeps enough workers from lower ranks for a gang that finds no room. */
    private void reserve(StepDemand demand, Candidates candidates, int members) {
        List<CandidateWorker> allowed = new ArrayList<>(candidates.good);
        allowed.addAll(candidates.stale);
        if (allowed.isEmpty() || reservations >= MOST_GANGS_WITH_RESERVATION) {
            return;
        }
        reservations++;
        allowed.sort(Comparator.comparingLong(worker -> -worker.free().milliCores()));
        int places = 0;
        for (CandidateWorker worker : allowed) {
            if (places >= members) {
                return;
            }
            ResourceVector capacity = ResourceVector.of(worker.info().getCapacity());
            places += Math.min(demand.step().perTask().timesInto(capacity, members), mostOn(demand, worker));
            worker.reserveFor(demand.priority());
        }
    }

    // --- tickets

    /** The workers that suit a step, by what the adviser has said of them. */
    private static final class Candidates {
        final List<CandidateWorker> good = new ArrayList<>();
        final List<CandidateWorker> stale = new ArrayList<>();
        final List<CandidateWorker> unknown = new ArrayList<>();
    }

    private Candidates candidates(StepDemand demand) {
        Candidates found = new Candidates();
        String label = demand.step().spec().getRequiredLabel();
        for (CandidateWorker worker : workers) {
            boolean suits = worker.info().getPool().equals(demand.queue().getPool())
                    && (label.isEmpty() || worker.info().getLabelsList().contains(label));
            if (!suits) {
                continue;
            }
            Verdict verdict =
                    demand.needsTicket() ? tickets.verdict(demand.step().name(), worker.id()) : Verdict.ALLOWED;
            switch (verdict) {
                case ALLOWED -> found.good.add(worker);
                case STALE -> found.stale.add(worker);
                case UNKNOWN -> found.unknown.add(worker);
                case DENIED -> {}
            }
        }
        return found;
    }

    /**
     * Asks for tickets that would let the rest start now, and keeps their room meanwhile; tells whether there is such
     * room.
     */
    private boolean ask(StepDemand demand, Candidates candidates, int tasks) {
        boolean knowsNothing = candidates.good.isEmpty() && candidates.stale.isEmpty();
        List<CandidateWorker> allowed = new ArrayList<>(candidates.good);
        allowed.addAll(candidates.stale);
        List<CandidateWorker> enough = choose(demand, allowed, tasks);
        boolean isFeasible = demand.step().spec().getGang() ? enough.size() == tasks : !enough.isEmpty();
        if (isFeasible) {
            enough.forEach(worker -> worker.take(demand.step().perTask()));
        }
        if (tickets.isPending(demand.step().name())) {
            return isFeasible;
        }
        if (isFeasible && !candidates.stale.isEmpty()) {
            wish(demand, candidates.stale);
        } else if (knowsNothing || !isFeasible) {
            wish(demand, candidates.unknown);
        }
        return isFeasible;
    }

    private void wish(StepDemand demand, List<CandidateWorker> among) {
        AdviceCostProto cost = demand.queue().getAdvice();
        int most = MOST_NAMES;
        if (cost.getPerWorkerMs() > 0) {
            long affordable = (long) (cost.getDecideMs() * NAMES_SHARE_OF_COST / cost.getPerWorkerMs());
            most = (int) Math.min(MOST_NAMES, Math.max(LEAST_NAMES, affordable));
        }
        List<String> named = among.stream()
                .sorted(Comparator.comparingLong(worker -> -worker.free().milliCores()))
                .limit(most)
                .map(CandidateWorker::id)
                .toList();
        if (!named.isEmpty()) {
            double costMs = cost.getDecideMs() + named.size() * cost.getPerWorkerMs();
            wishes.add(new AdviceRequest(demand.step().name(), named, demand.priority(), costMs));
        }
    }

    private void place(StepDemand demand, int index, int run, CandidateWorker worker) {
        ResourceVector need = demand.step().perTask();
        worker.take(need);
        worker.addTasks(demand.step().name(), 1);
        quotas.take(workspace(demand), need);
        placements.add(new Placement(demand.step(), index, run, worker.info()));
    }

    private static String workspace(StepDemand demand) {
        return demand.step().job().graph().getWorkspace();
    }
}
