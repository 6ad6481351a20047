package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.lovagegrade.graph.advice.QuestionPurpose;
import org.lovagegrade.wire.proto.AdviceCostProto;

/**
 * Decides which questions to the adviser a plan needs. A verdict holds as long as the worker's incarnation, so that only
 * workers without a verdict, and allowed ones whose ticket is needed again, are asked about. Capacity that an earlier
 * question will probably use isn't counted on for the questions after it.
 */
final class TicketRequests {
    /** Further questions of a priority would wait so long that later plans replace them before they are sent. */
    private static final int MAX_REQUESTS_PER_PRIORITY = 32;
    /** After so many steps without a worthwhile question, only steps with smaller tasks are examined. */
    private static final int MAX_MISSES = 16;
    /**
     * The gangs that may learn verdicts and renew tickets before they fit: as many as may reserve workers. The gangs after
     * them, and late ones, do the same in the background.
     */
    private static final int MAX_GANGS_AHEAD = 2;
    /** Bounds the steps that are examined for background questions, since few of these questions are sent at a time. */
    private static final int MAX_BACKGROUND_REQUESTS = 8;
    /** A question that costs less is asked before the step fits, so that its verdicts are known once it does. */
    private static final double LEARN_AHEAD_COST_MS = 50;
    /** A gang isn't asked about if its members fit on the allowed workers with a lower probability. */
    private static final double MIN_GANG_LIKELIHOOD = 0.5;
    /** A gang renews its tickets once this fraction of its members fits, since the rest will probably fit soon. */
    private static final double NEARLY_FITS = 0.75;
    /** A gang renews tickets for this many times the workers that it needs, since others may become free first. */
    private static final double RENEWAL_MARGIN = 1.5;
    /** At most this share of what runs on a worker is expected to end while a ticket is valid. */
    private static final double MAX_ENDING_SHARE = 0.5;
    /** A worker is not named for a smaller fraction of a task. */
    private static final double MIN_ROOM = 0.2;

    private static final Comparator<TicketOption> MOST_USEFUL_FIRST = Comparator.comparingDouble(
                    TicketOption::expectedTasks)
            .thenComparingLong(option -> option.worker().free().milliCores())
            .reversed();

    private final AdviceLookup advice;
    private final List<AdviceRequest> requests = new ArrayList<>();
    private final Map<Integer, Integer> requestsByPriority = new HashMap<>();
    private final CapacityClaims claims = new CapacityClaims();

    /** The steps for which no question is worthwhile, so that those like them needn't be examined. */
    private final Map<MissKey, Misses> misses = new HashMap<>();

    private int gangsAhead;
    private int backgroundRequests;

    private record MissKey(String queue, String label, boolean isGang) {}

    private record Misses(int count, long leastMilliCores) {
        static final Misses NONE = new Misses(0, Long.MAX_VALUE);

        Misses plus(StepDemand demand) {
            return new Misses(
                    count + 1, Math.min(leastMilliCores, demand.step().perTask().milliCores()));
        }
    }

    /**
     * The workers that are suitable for a step, by the adviser's verdict.
     *
     * @param allowed those with a valid ticket
     * @param stale those that were allowed before
     * @param unknown those without a verdict
     */
    record Suitable(List<CandidateWorker> allowed, List<CandidateWorker> stale, List<CandidateWorker> unknown) {}

    TicketRequests(AdviceLookup advice) {
        this.advice = advice;
    }

    List<AdviceRequest> requests() {
        return List.copyOf(requests);
    }

    /**
     * Requests the tickets that a step needs, if a question about them is worthwhile now.
     *
     * @param demand the step
     * @param suitable its workers
     * @param tasks the number of tasks without a worker
     * @param fit how many tasks of the step fit on a worker's free resources now
     * @param fitWhenEmpty how many tasks of the step fit on a worker without other runs; 0 if it is closed to the step
     * @return whether a question is pending or requested
     */
    boolean request(
            StepDemand demand,
            Suitable suitable,
            int tasks,
            ToIntFunction<CandidateWorker> fit,
            ToIntFunction<CandidateWorker> fitWhenEmpty) {
        double share = advice.allowedShare(demand.queue().getName());
        if (advice.isPending(demand.step().name())) {
            if (!advice.isPendingInBackground(demand.step().name())) {
                gangsAhead += isGang(demand) ? 1 : 0;
                claimPending(demand, suitable, tasks, fitWhenEmpty, share);
            }
            return true;
        }
        if (requestsByPriority.getOrDefault(demand.priority(), 0) >= MAX_REQUESTS_PER_PRIORITY) {
            return false;
        }
        Optional<QuestionScope> start = isHopeless(demand)
                ? Optional.empty()
                : scopeForStart(demand, suitable, tasks, fit, fitWhenEmpty, share);
        if (start.isPresent()) {
            add(demand, start.get(), tasks, startPurpose(demand));
            return true;
        }
        return requestAhead(demand, suitable, tasks, fit, fitWhenEmpty, share);
    }

    /** Requests verdicts or tickets that a step will need once it fits. Returns whether a question is requested. */
    private boolean requestAhead(
            StepDemand demand,
            Suitable suitable,
            int tasks,
            ToIntFunction<CandidateWorker> fit,
            ToIntFunction<CandidateWorker> fitWhenEmpty,
            double share) {
        boolean isBackground = !mayAskAhead(demand);
        if (isBackground && !mayAskInBackground(demand)) {
            return false;
        }
        Optional<QuestionScope> ahead = scopeForVerdicts(demand, suitable, tasks, fitWhenEmpty, share)
                .or(() -> scopeForRenewal(demand, suitable, tasks, fit, fitWhenEmpty));
        QuestionPurpose purpose = isBackground ? QuestionPurpose.LEARN_AHEAD : QuestionPurpose.START;
        ahead.ifPresent(chosen -> add(demand, chosen, tasks, purpose));
        return ahead.isPresent();
    }

    /** Whether a gang may learn its verdicts while nothing more urgent waits for the adviser, however late it is. */
    private boolean mayAskInBackground(StepDemand demand) {
        return isGang(demand) && backgroundRequests < MAX_BACKGROUND_REQUESTS;
    }

    private boolean isHopeless(StepDemand demand) {
        Misses missed = misses.getOrDefault(missKey(demand), Misses.NONE);
        return missed.count() >= MAX_MISSES && demand.step().perTask().milliCores() >= missed.leastMilliCores();
    }

    private void addMiss(StepDemand demand) {
        MissKey key = missKey(demand);
        misses.put(key, misses.getOrDefault(key, Misses.NONE).plus(demand));
    }

    private static MissKey missKey(StepDemand demand) {
        return new MissKey(demand.queue().getName(), demand.step().spec().getRequiredLabel(), isGang(demand));
    }

    /**
     * Requests tickets for one task on any of the given workers, unless a question about its step is pending or requested.
     *
     * @param demand the step
     * @param workers the workers, none of which has a valid ticket
     * @param isKnown whether the adviser has allowed these workers before
     */
    void requestAny(StepDemand demand, List<CandidateWorker> workers, boolean isKnown) {
        String step = demand.step().name();
        boolean isRequested =
                requests.stream().anyMatch(request -> request.step().equals(step));
        if (isRequested || advice.isPending(step)) {
            return;
        }
        double probability = isKnown ? 1 : advice.allowedShare(demand.queue().getName());
        List<TicketOption> options = options(workers, _worker -> 1, probability);
        QuestionScope.best(options, 0, 1, false, cost(demand))
                .ifPresent(chosen -> add(demand, chosen, 1, startPurpose(demand)));
    }

    /**
     * Selects workers with which tasks could start: those of a gang now, enough that all members probably can; others
     * now, or as soon as something ends there while the ticket is valid.
     */
    private Optional<QuestionScope> scopeForStart(
            StepDemand demand,
            Suitable suitable,
            int tasks,
            ToIntFunction<CandidateWorker> fit,
            ToIntFunction<CandidateWorker> fitWhenEmpty,
            double share) {
        boolean isGang = isGang(demand);
        List<CandidateWorker> lasting = new ArrayList<>();
        List<CandidateWorker> known = needingRenewal(demand, suitable, lasting);
        int covered =
                isGang ? lasting.stream().mapToInt(fit).sum() : claimSoon(demand, lasting, tasks, fit, fitWhenEmpty);
        if (covered >= tasks) {
            return Optional.empty();
        }
        List<TicketOption> options = new ArrayList<>();
        known.forEach(worker -> optionNow(demand, worker, fit, 1, true).ifPresent(options::add));
        suitable.unknown()
                .forEach(worker -> optionNow(demand, worker, fit, share, false).ifPresent(options::add));
        if (!isGang) {
            known.forEach(
                    worker -> optionSoon(demand, worker, fit, fitWhenEmpty, 1).ifPresent(options::add));
            suitable.unknown()
                    .forEach(worker ->
                            optionSoon(demand, worker, fit, fitWhenEmpty, share).ifPresent(options::add));
        }
        options.sort(MOST_USEFUL_FIRST);
        Optional<QuestionScope> scope = QuestionScope.best(options, covered, tasks, isGang, cost(demand))
                .filter(best -> !isGang || best.yield() >= MIN_GANG_LIKELIHOOD);
        if (scope.isEmpty()) {
            addMiss(demand);
        }
        return isGang
                ? scope.map(
                        best -> best.learning(() -> othersToLearn(best, suitable, fitWhenEmpty, share), cost(demand)))
                : scope;
    }

    /** The workers without a verdict that a question doesn't name. */
    private static List<TicketOption> othersToLearn(
            QuestionScope scope, Suitable suitable, ToIntFunction<CandidateWorker> fitWhenEmpty, double share) {
        Set<String> named =
                scope.options().stream().map(option -> option.worker().id()).collect(Collectors.toSet());
        List<CandidateWorker> others = suitable.unknown().stream()
                .filter(worker -> !named.contains(worker.id()))
                .toList();
        return options(others, fitWhenEmpty, share).stream()
                .map(TicketOption::forVerdictOnly)
                .toList();
    }

    /** Claims the room that workers with lasting tickets will have, and returns how many tasks they will take. */
    private int claimSoon(
            StepDemand demand,
            List<CandidateWorker> lasting,
            int tasks,
            ToIntFunction<CandidateWorker> fit,
            ToIntFunction<CandidateWorker> fitWhenEmpty) {
        List<TicketOption> soon = new ArrayList<>();
        lasting.forEach(
                worker -> optionSoon(demand, worker, fit, fitWhenEmpty, 1).ifPresent(soon::add));
        claims.add(demand, soon, tasks);
        return (int) soon.stream().mapToDouble(TicketOption::expectedTasks).sum();
    }

    private Optional<TicketOption> optionNow(
            StepDemand demand,
            CandidateWorker worker,
            ToIntFunction<CandidateWorker> fit,
            double probability,
            boolean isKnown) {
        int tasks = claims.unclaimedFit(demand, worker, fit);
        return tasks > 0 ? Optional.of(new TicketOption(worker, tasks, probability, isKnown)) : Optional.empty();
    }

    /** Returns a worker without room that will probably have room while the ticket is valid. */
    private Optional<TicketOption> optionSoon(
            StepDemand demand,
            CandidateWorker worker,
            ToIntFunction<CandidateWorker> fit,
            ToIntFunction<CandidateWorker> fitWhenEmpty,
            double probability) {
        long perTask = demand.step().perTask().milliCores();
        long estimateMs = demand.step().spec().getEstimateMs();
        int most = fitWhenEmpty.applyAsInt(worker);
        if (perTask <= 0 || estimateMs <= 0 || most <= 0 || claims.unclaimedFit(demand, worker, fit) > 0) {
            return Optional.empty();
        }
        // What runs there is taken to last as long as this step's tasks, and to be anywhere in its run.
        double endingShare = Math.min(MAX_ENDING_SHARE, cost(demand).getValidMs() / 2.0 / estimateMs);
        long free = worker.free().milliCores();
        double ending = (worker.info().getCapacity().getMilliCores() - free) * endingShare;
        double room = (free + ending - claims.milliCores(worker)) / perTask;
        int fitting = (int) Math.max(1, Math.min(most, room));
        return room > MIN_ROOM
                ? Optional.of(new TicketOption(worker, fitting, probability * Math.min(1, room), false))
                : Optional.empty();
    }

    private boolean mayAskAhead(StepDemand demand) {
        if (demand.urgency() == Urgency.OVERDUE) {
            return false;
        }
        if (!isGang(demand)) {
            return cost(demand).getDecideMs() < LEARN_AHEAD_COST_MS;
        }
        gangsAhead++;
        return gangsAhead <= MAX_GANGS_AHEAD;
    }

    /** Selects workers without a verdict until the allowed ones could run all tasks once they are empty. */
    private static Optional<QuestionScope> scopeForVerdicts(
            StepDemand demand,
            Suitable suitable,
            int tasks,
            ToIntFunction<CandidateWorker> fitWhenEmpty,
            double share) {
        int covered = suitable.allowed().stream().mapToInt(fitWhenEmpty).sum()
                + suitable.stale().stream().mapToInt(fitWhenEmpty).sum();
        if (covered >= tasks) {
            return Optional.empty();
        }
        List<TicketOption> options = options(suitable.unknown(), fitWhenEmpty, share);
        // One question needn't cover a wide gang: the verdicts of several add up.
        return QuestionScope.best(options, covered, tasks, false, cost(demand));
    }

    /** Selects allowed workers of a gang that will probably fit by the time of the answer. */
    private Optional<QuestionScope> scopeForRenewal(
            StepDemand demand,
            Suitable suitable,
            int tasks,
            ToIntFunction<CandidateWorker> fit,
            ToIntFunction<CandidateWorker> fitWhenEmpty) {
        List<CandidateWorker> lasting = new ArrayList<>();
        List<CandidateWorker> known = needingRenewal(demand, suitable, lasting);
        int fitting = known.stream().mapToInt(fit).sum()
                + lasting.stream().mapToInt(fit).sum();
        if (!isGang(demand) || known.isEmpty() || fitting < NEARLY_FITS * tasks) {
            return Optional.empty();
        }
        int wanted = (int) (RENEWAL_MARGIN * tasks)
                - lasting.stream().mapToInt(fitWhenEmpty).sum();
        List<TicketOption> chosen = new ArrayList<>();
        for (TicketOption option : options(known, fitWhenEmpty, 1)) {
            if (wanted > 0 && chosen.size() < QuestionScope.MAX_WORKERS) {
                chosen.add(option);
                wanted -= option.tasks();
            }
        }
        double costMs =
                cost(demand).getDecideMs() + chosen.size() * cost(demand).getPerWorkerMs();
        return chosen.isEmpty() ? Optional.empty() : Optional.of(new QuestionScope(chosen, 1, costMs));
    }

    /** Returns the allowed workers whose tickets have expired or will before an answer; adds the others to a list. */
    private List<CandidateWorker> needingRenewal(StepDemand demand, Suitable suitable, List<CandidateWorker> lasting) {
        List<CandidateWorker> needing = new ArrayList<>(suitable.stale());
        for (CandidateWorker worker : suitable.allowed()) {
            boolean lasts = advice.remainingMs(demand.step().name(), worker.id())
                    > cost(demand).getDecideMs();
            (lasts ? lasting : needing).add(worker);
        }
        return needing;
    }

    /** Returns the workers that fit any task, the most useful first. */
    private static List<TicketOption> options(
            List<CandidateWorker> workers, ToIntFunction<CandidateWorker> fit, double probability) {
        List<TicketOption> options = new ArrayList<>();
        for (CandidateWorker worker : workers) {
            int tasks = fit.applyAsInt(worker);
            if (tasks > 0) {
                options.add(new TicketOption(worker, tasks, probability, false));
            }
        }
        options.sort(MOST_USEFUL_FIRST);
        return options;
    }

    // --- claims

    /** Claims capacity for a pending question; a worker without room is taken to be named for one task. */
    private void claimPending(
            StepDemand demand,
            Suitable suitable,
            int tasks,
            ToIntFunction<CandidateWorker> fitWhenEmpty,
            double share) {
        List<String> asked = advice.workersAsked(demand.step().name());
        List<CandidateWorker> named = suitable.unknown().stream()
                .filter(worker -> asked.contains(worker.id()))
                .toList();
        claims.add(demand, options(named, worker -> Math.min(1, fitWhenEmpty.applyAsInt(worker)), share), tasks);
    }

    private void add(StepDemand demand, QuestionScope scope, int tasks, QuestionPurpose purpose) {
        if (purpose == QuestionPurpose.START) {
            claims.add(demand, scope.options(), tasks);
        } else {
            backgroundRequests++;
        }
        requestsByPriority.merge(demand.priority(), 1, Integer::sum);
        double expectedTasks = scope.yield() * tasks;
        double coreMsPerTask = demand.step().perTask().milliCores()
                / 1_000.0
                * demand.step().spec().getEstimateMs();
        requests.add(new AdviceRequest(
                demand.step().name(),
                demand.queue().getName(),
                scope.options().stream().map(option -> option.worker().id()).toList(),
                demand.priority(),
                scope.costMs(),
                purpose,
                demand.urgency(),
                Urgency.latestStartMs(
                        demand.step().job(), demand.step().occurrence(), demand.queue(), demand.dueAtMs()),
                expectedTasks * coreMsPerTask));
    }

    private static QuestionPurpose startPurpose(StepDemand demand) {
        return demand.urgency() == Urgency.OVERDUE ? QuestionPurpose.OVERDUE_START : QuestionPurpose.START;
    }

    private static boolean isGang(StepDemand demand) {
        return demand.step().spec().getGang();
    }

    private static AdviceCostProto cost(StepDemand demand) {
        return demand.queue().getAdvice();
    }
}
