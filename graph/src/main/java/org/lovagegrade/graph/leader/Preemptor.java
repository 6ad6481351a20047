package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.planning.CandidateWorker;
import org.lovagegrade.graph.planning.RunTimes;
import org.lovagegrade.graph.planning.StepDemand;
import org.lovagegrade.graph.planning.UnplacedTasks;
import org.lovagegrade.graph.planning.Urgency;
import org.lovagegrade.graph.preemption.CapacityRequest;
import org.lovagegrade.graph.preemption.Preemption;
import org.lovagegrade.graph.preemption.StopDecision;
import org.lovagegrade.graph.preemption.StoppableRun;
import org.lovagegrade.wire.proto.QueueProto;

/**
 * Has runs stopped for more urgent tasks that would miss their objective otherwise, at the last moment at which that
 * still helps. A task is stopped at most once within its objective.
 */
final class Preemptor {
    /** A shorter run has hardly begun, and may not be confirmed by its worker. */
    private static final long MIN_RUN_MS = 1_000;
    /** The time between two decisions, each of which takes a pass over all runs. */
    private static final long INTERVAL_MS = 50;
    /** Covers the commits of the end and of the start, and the order to start. */
    private static final long START_MARGIN_MS = 60;
    /** How long before the last useful moment runs are stopped; until then capacity may become free by itself. */
    private static final long LEAD_MS = 300;
    /** Further tasks wait for the next decision. */
    private static final int MAX_REQUESTS = 16;
    /** The share of all cores that may be stopped in a second. */
    private static final double MAX_SHARE_PER_SECOND = 0.05;

    private final RunTimes runTimes;
    private final StopTimes stopTimes;
    private final Function<String, Optional<QueueProto>> queues;
    /** By the unit that was stopped, until when it must not be stopped again. */
    private final Map<String, Long> protectedUntilMs = new HashMap<>();

    private long nextDecisionMs;
    private long budgetAtMs;
    private double budgetMilliCores;

    /**
     * Creates a preemptor for one term.
     *
     * @param runTimes predicts run times
     * @param stopTimes measures how long stops take
     * @param queues finds a queue by its name
     */
    Preemptor(RunTimes runTimes, StopTimes stopTimes, Function<String, Optional<QueueProto>> queues) {
        this.runTimes = runTimes;
        this.stopTimes = stopTimes;
        this.queues = queues;
    }

    /**
     * Decides which runs to stop.
     *
     * @param unplaced the tasks without capacity, the most urgent first
     * @param workers the workers of the plan, with what it left free
     * @param sessions all workers
     * @param nowMs the present time, on the monotonic clock in milliseconds
     * @param wallMs the present time, in milliseconds since 1970
     * @return the decisions
     */
    List<StopDecision> decide(
            List<UnplacedTasks> unplaced,
            List<CandidateWorker> workers,
            Collection<WorkerSession> sessions,
            long nowMs,
            long wallMs) {
        if (unplaced.isEmpty() || nowMs < nextDecisionMs) {
            return List.of();
        }
        nextDecisionMs = nowMs + INTERVAL_MS;
        List<CapacityRequest> requests = unplaced.stream()
                .filter(tasks -> isLastMoment(tasks.demand(), wallMs))
                .limit(MAX_REQUESTS)
                .map(this::request)
                .toList();
        if (requests.isEmpty()) {
            return List.of();
        }
        refillBudget(workers, nowMs);
        protectedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        Map<String, ResourceVector> freeByWorker = new HashMap<>();
        workers.forEach(worker -> freeByWorker.put(worker.id(), worker.freeAt(nowMs + stopTimes.expectedMs())));
        List<StoppableRun> runs = stoppableRuns(sessions, freeByWorker.keySet(), nowMs);
        return new Preemption(freeByWorker, runs, (long) budgetMilliCores).decide(requests);
    }

    /** Records that a run is stopped. */
    void runStopped(RunRecord run, long nowMs) {
        budgetMilliCores -= run.step().perTask().milliCores();
        JobRecord job = run.step().job();
        long objectiveMs = queueOf(run)
                .map(queue -> (long)
                        Urgency.objectiveMs(job.occurrences().get(run.step().occurrence()), queue))
                .orElse(0L);
        protectedUntilMs.put(unitOf(run), nowMs + objectiveMs);
    }

    /** Whether tasks can just meet their objective if runs are stopped now. */
    private boolean isLastMoment(StepDemand demand, long wallMs) {
        StepRecord step = demand.step();
        double slackMs = Urgency.slackMs(step.job(), step.occurrence(), demand.queue(), demand.dueAtMs(), wallMs);
        long neededMs = stopTimes.expectedMs() + START_MARGIN_MS;
        return slackMs >= neededMs && slackMs <= neededMs + LEAD_MS;
    }

    private CapacityRequest request(UnplacedTasks unplaced) {
        StepRecord step = unplaced.demand().step();
        int limit = step.spec().getMostPerWorker();
        return new CapacityRequest(
                step.name(),
                unplaced.demand().priority(),
                step.perTask(),
                unplaced.tasks(),
                step.spec().getGang(),
                limit > 0 ? limit : Integer.MAX_VALUE,
                step.perTask().milliCores() * step.spec().getEstimateMs() / 1_000,
                unplaced.workers().stream().map(CandidateWorker::id).toList());
    }

    /** Refills the budget; in a small fleet it allows for the runs of one worker in a second. */
    private void refillBudget(List<CandidateWorker> workers, long nowMs) {
        LongSummaryStatistics milliCores = workers.stream()
                .mapToLong(worker -> worker.info().getCapacity().getMilliCores())
                .summaryStatistics();
        double perSecond = Math.max((double) milliCores.getMax(), milliCores.getSum() * MAX_SHARE_PER_SECOND);
        budgetMilliCores = Math.min(perSecond, budgetMilliCores + perSecond * (nowMs - budgetAtMs) / 1_000);
        budgetAtMs = nowMs;
    }

    /** The runs that may be stopped; those of a gang only if all of its members may. */
    private List<StoppableRun> stoppableRuns(Collection<WorkerSession> sessions, Set<String> usable, long nowMs) {
        List<StoppableRun> runs = new ArrayList<>();
        Set<String> unstoppableUnits = new HashSet<>(protectedUntilMs.keySet());
        for (WorkerSession session : sessions) {
            boolean isUsable = usable.contains(session.id());
            boolean mayCrash = session.runs.values().stream().anyMatch(tracker -> session.mayCrashUnder(tracker.run));
            for (RunTracker tracker : session.runs.values()) {
                String unit = unitOf(tracker.run);
                Optional<QueueProto> queue = queueOf(tracker.run);
                if (isUsable && !mayCrash && queue.isPresent() && isStoppable(tracker, nowMs)) {
                    runs.add(stoppable(tracker, unit, queue.get().getPriority(), nowMs));
                } else {
                    unstoppableUnits.add(unit);
                }
            }
        }
        runs.removeIf(run -> unstoppableUnits.contains(run.unit()));
        return runs;
    }

    private static boolean isStoppable(RunTracker tracker, long nowMs) {
        return tracker.phase == RunTracker.Phase.CONFIRMED
                && !tracker.stopRequested
                && !tracker.run.step().spec().getLasting()
                && tracker.knownForMs(nowMs) >= MIN_RUN_MS;
    }

    private StoppableRun stoppable(RunTracker tracker, String unit, int priority, long nowMs) {
        StepRecord step = tracker.run.step();
        long lostMs = step.spec().getCheckpointing() ? stopTimes.expectedMs() : lostWithoutCheckpointMs(tracker, nowMs);
        return new StoppableRun(
                tracker.run.key(),
                unit,
                tracker.run.worker(),
                priority,
                step.perTask(),
                step.perTask().milliCores() * lostMs / 1_000);
    }

    /** The start of a run of an earlier leader is unknown, so that it may have done most of its work. */
    private long lostWithoutCheckpointMs(RunTracker tracker, long nowMs) {
        long knownMs = tracker.knownForMs(nowMs);
        StepRecord step = tracker.run.step();
        boolean hasEstimate = step.spec().getEstimateMs() > 0;
        return tracker.isTakenOver() && hasEstimate ? Math.max(knownMs, runTimes.expectedMs(step)) : knownMs;
    }

    private Optional<QueueProto> queueOf(RunRecord run) {
        return queues.apply(run.step().job().graph().getQueue());
    }

    private static String unitOf(RunRecord run) {
        RunKey key = run.key();
        return run.step().spec().getGang() ? run.step().name() : key.task().toString();
    }
}
