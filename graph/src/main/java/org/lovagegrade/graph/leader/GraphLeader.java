package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagegrade.graph.advice.AdviceBroker;
import org.lovagegrade.graph.advice.QuestionWish;
import org.lovagegrade.graph.machine.CrashHistory;
import org.lovagegrade.graph.machine.Evacuation;
import org.lovagegrade.graph.machine.GraphStateListener;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.machine.TaskRecord;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.graph.planning.AdviceRequest;
import org.lovagegrade.graph.planning.BrokeredAdvice;
import org.lovagegrade.graph.planning.CandidateWorker;
import org.lovagegrade.graph.planning.CapacityRelease;
import org.lovagegrade.graph.planning.GangReservation;
import org.lovagegrade.graph.planning.GangReservations;
import org.lovagegrade.graph.planning.Placement;
import org.lovagegrade.graph.planning.Plan;
import org.lovagegrade.graph.planning.PlanOrder;
import org.lovagegrade.graph.planning.Planner;
import org.lovagegrade.graph.planning.RunTimes;
import org.lovagegrade.graph.planning.StepDemand;
import org.lovagegrade.graph.planning.SuspectWaits;
import org.lovagegrade.graph.planning.Urgency;
import org.lovagegrade.graph.planning.WorkspaceQuotas;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.wire.proto.AdvicePollProto;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** The leader's work during one term: it plans starts, drives the workers and asks the adviser. */
final class GraphLeader implements GraphStateListener {
    /** The shortest time between two plans, so that changes that arrive together are planned together. */
    private static final long MIN_PLAN_INTERVAL_MS = 4;
    /** The longest time between two plans, for tasks that become due and tickets that expire. */
    private static final long MAX_PLAN_INTERVAL_MS = 200;

    private static final long STALL_CHECK_INTERVAL_MS = 250;

    private final GraphStateMachine machine;
    private final WorkerDriver driver;
    private final CommandProposer proposer;
    private final Clock clock;
    private final Clock wallClock;
    private final PlanOrder planOrder;
    private final AdviceBroker adviceBroker;
    private final WorkerHealth health = new WorkerHealth();
    private final CrashingJobs crashingJobs;
    private final WorkerReports workerReports;
    private final WorkAccount workAccount;
    private final JobAccounting jobAccounting;
    private final RunTimes runTimes = new RunTimes();
    private final SuspectWaits suspectWaits = new SuspectWaits();
    private final LeavingWorkers leavingWorkers;
    private final GangReservations gangReservations = new GangReservations(this::logReservation);
    /** Starts that were proposed to the log and are not committed yet. */
    private final Map<RunKey, Placement> proposedStarts = new HashMap<>();
    /** Whether anything that affects placement has changed since the last plan. */
    private boolean dirty = true;

    private long nextPlanMs;
    private long nextStallCheckMs;
    private long planDeadlineMs;

    GraphLeader(
            GraphStateMachine machine,
            WorkerDriver driver,
            CommandProposer proposer,
            Clock clock,
            Clock wallClock,
            PlanOrder planOrder,
            Metrics metrics) {
        this.machine = machine;
        this.driver = driver;
        this.proposer = proposer;
        this.clock = clock;
        this.wallClock = wallClock;
        this.planOrder = planOrder;
        this.adviceBroker = new AdviceBroker(driver.firstIdOfTerm(), AdviceAccounting::report, metrics);
        this.crashingJobs = new CrashingJobs(proposer, metrics);
        this.workerReports = new WorkerReports(machine, driver, proposer, metrics);
        this.workAccount = new WorkAccount(machine);
        this.jobAccounting = new JobAccounting(machine, wallClock, metrics);
        this.leavingWorkers = new LeavingWorkers(driver.timings(), runTimes);
        long nowMs = clock.nowMs();
        machine.workers().values().forEach(worker -> driver.takeOver(worker, machine.clockMs(), nowMs));
    }

    void close() {
        driver.close();
    }

    void tick(long nowMs) {
        driver.tick(nowMs);
        workerReports.tick(nowMs);
        if (nowMs >= nextStallCheckMs) {
            nextStallCheckMs = nowMs + STALL_CHECK_INTERVAL_MS;
            stopStalled(nowMs);
            stopOnLeavingWorkers(nowMs);
            workAccount.observe(usableMilliCores(nowMs), wallClock.nowMs());
        }
        dirty |= adviceBroker.tick(nowMs);
        boolean isDue = (dirty && nowMs >= nextPlanMs) || nowMs >= planDeadlineMs;
        if (isDue) {
            plan(nowMs);
        }
    }

    WorkAccount workAccount() {
        return workAccount;
    }

    private long usableMilliCores(long nowMs) {
        return driver.sessions().stream()
                .filter(session -> driver.isUsable(session, nowMs))
                .mapToLong(session -> session.info().getCapacity().getMilliCores())
                .sum();
    }

    /** Stops runs that make no progress; they continue on other workers from their last checkpoint. */
    private void stopStalled(long nowMs) {
        for (RunRecord run : driver.stalledRuns()) {
            Log.event("runStalled")
                    .with("run", run.key().toString())
                    .with("worker", run.worker())
                    .warn();
            health.runStalled(run.worker(), run.key().task(), nowMs);
            driver.requestStop(run, WasteCause.STALLED, nowMs);
            dirty = true;
        }
    }

    /** Stops runs that can save a checkpoint before their worker leaves. */
    private void stopOnLeavingWorkers(long nowMs) {
        for (RunRecord run : leavingWorkers.runsToStop(driver.sessions(), nowMs)) {
            Log.event("runEvicted")
                    .with("run", run.key().toString())
                    .with("worker", run.worker())
                    .info();
            driver.requestStop(run, nowMs);
        }
    }

    // --- requests

    /**
     * Handles what a worker reports of itself.
     *
     * @param reported the report
     * @param acknowledge runs if the report has no effect on the log
     * @param propose takes the command that brings the report into the log otherwise
     */
    void handleWorkerReport(WorkerProto reported, Runnable acknowledge, Consumer<GraphCommandProto.Builder> propose) {
        workerReports.handle(reported, acknowledge, propose, clock.nowMs());
    }

    /** Handles the announced end of a worker. */
    void handleWorkerLeaving(String worker, Runnable acknowledge) {
        workerReports.handleLeaving(worker, hasProposedStart(worker), clock.nowMs());
        acknowledge.run();
    }

    /** Whether a start that may be committed before any later command goes to the worker. */
    private boolean hasProposedStart(String worker) {
        return proposedStarts.values().stream()
                .anyMatch(placement -> placement.worker().getId().equals(worker));
    }

    void handleAdvicePoll(AdvicePollProto poll, Consumer<List<AdviceQuestionProto>> reply) {
        dirty |= adviceBroker.poll(poll.getCaller(), poll.getResultsList(), reply, clock.nowMs());
    }

    // --- committed changes

    @Override
    public void runStarted(RunRecord run) {
        proposedStarts.remove(run.key());
        long nowMs = clock.nowMs();
        String step = run.step().name();
        workAccount.runStarted(run, nowMs);
        driver.runStarted(run, adviceBroker.ticket(step, run.worker()), nowMs);
        suspectWaits.forgetTask(run.key().task());
        dirty = true;
    }

    @Override
    public void startRejected(RunKey key) {
        proposedStarts.remove(key);
        dirty = true;
    }

    @Override
    public void runEnded(RunRecord run, RunEndProto how) {
        if (how == RunEndProto.RUN_DONE) {
            driver.tracker(run)
                    .map(tracker -> tracker.wholeRunMs(clock.nowMs()))
                    .ifPresent(tookMs -> tookMs.ifPresent(known -> runTimes.record(run.step(), known)));
        }
        driver.runEnded(run, how);
        workAccount.runEnded(run, how, clock.nowMs());
        dirty = true;
        if (how == RunEndProto.RUN_DONE) {
            health.runCompleted(run.worker());
        } else if (how == RunEndProto.RUN_FAILED) {
            health.runFailed(run.worker(), run.key().task(), clock.nowMs());
        }
        if (how == RunEndProto.RUN_REFUSED) {
            adviceBroker.ticketRefused(run.step().name(), run.worker());
        }
        boolean isGangMemberLost = run.step().spec().getGang() && how != RunEndProto.RUN_DONE;
        if (isGangMemberLost) {
            stopOtherGangMembers(run);
        }
    }

    /** Stops the other members of a gang that has lost one, since it can no longer complete. */
    private void stopOtherGangMembers(RunRecord lost) {
        long nowMs = clock.nowMs();
        for (RunRecord run : List.copyOf(lost.step().runs())) {
            if (run.key().run() == lost.key().run()) {
                driver.requestStop(run, WasteCause.GANG_BROKEN, nowMs);
            }
        }
    }

    @Override
    public void runObsolete(RunRecord run) {
        driver.requestStop(run, clock.nowMs());
    }

    @Override
    public void jobBegun(JobRecord job) {
        jobAccounting.jobBegun(job);
    }

    @Override
    public void jobAccepted(JobRecord job) {
        dirty = true;
        workAccount.jobAccepted(job);
        jobAccounting.jobAccepted(job);
    }

    @Override
    public void jobFinished(JobRecord job) {
        dirty = true;
        job.occurrences().forEach(steps -> steps.forEach(step -> adviceBroker.forgetStep(step.name())));
        health.forgetJob(job.id());
        crashingJobs.forget(job);
        suspectWaits.forgetJob(job.id());
        workAccount.jobFinished(job);
        jobAccounting.jobFinished(job);
    }

    @Override
    public void workerChanged(WorkerRecord worker) {
        dirty = true;
        driver.workerChanged(worker, clock.nowMs());
    }

    @Override
    public void workerRemoved(WorkerRecord worker) {
        dirty = true;
        driver.workerRemoved(worker);
        adviceBroker.forgetWorker(worker.info().getId());
        health.forgetWorker(worker.info().getId());
    }

    @Override
    public void evacuationChanged(Evacuation evacuation) {
        dirty = true;
        EvacuationEffect.of(evacuation, driver.sessions()).log();
        adviceBroker.excludeFromQueuedQuestions(this::isInEvacuatedDomain);
    }

    private boolean isInEvacuatedDomain(String worker) {
        return driver.session(worker)
                .map(session -> session.info().getFailureDomain())
                .filter(machine.evacuations()::isEvacuated)
                .isPresent();
    }

    @Override
    public void configurationChanged() {
        dirty = true;
        machine.configuration()
                .ifPresent(configuration -> Log.event("documentInForce")
                        .with("version", configuration.proto().getVersion())
                        .with("queues", configuration.proto().getQueuesCount())
                        .info());
    }

    // --- planning

    private void plan(long nowMs) {
        dirty = false;
        nextPlanMs = nowMs + MIN_PLAN_INTERVAL_MS;
        planDeadlineMs = nowMs + MAX_PLAN_INTERVAL_MS;
        List<StepDemand> demands = demands();
        if (demands.isEmpty()) {
            queueQuestions(List.of(), nowMs);
            return;
        }
        Plan plan = new Planner(
                        candidateWorkers(nowMs),
                        BrokeredAdvice.of(adviceBroker, nowMs),
                        quotas(),
                        gangReservations,
                        runTimes,
                        nowMs)
                .plan(demands);
        queueQuestions(plan.adviceRequests(), nowMs);
        if (!plan.placements().isEmpty()) {
            propose(plan.placements());
        }
    }

    private void queueQuestions(List<AdviceRequest> requests, long nowMs) {
        long wallMs = wallClock.nowMs();
        List<QuestionWish> wishes =
                requests.stream().map(request -> request.toWish(wallMs)).toList();
        for (QuestionWish wish : adviceBroker.replaceQueue(wishes, nowMs)) {
            Log.event("adviceWanted")
                    .with("step", wish.step())
                    .with("queue", wish.queue())
                    .with("workers", wish.workers().size())
                    .with("costMs", Math.round(wish.costMs()))
                    .with("waiting", adviceBroker.queuedQuestions())
                    .info();
        }
    }

    private void logReservation(GangReservation reservation) {
        Log.event("gangReserved")
                .with("step", reservation.step())
                .with("workers", reservation.membersByWorker().size())
                .with(
                        "inMs",
                        reservation.startMs() == CapacityRelease.UNKNOWN ? -1 : reservation.startMs() - clock.nowMs())
                .info();
    }

    private void propose(List<Placement> placements) {
        StartsProto.Builder starts = StartsProto.newBuilder();
        for (Placement placement : placements) {
            RunKey key = new RunKey(placement.step().key(placement.index()), placement.run());
            proposedStarts.put(key, placement);
            Log.event("startDecided")
                    .with("run", key.toString())
                    .with("worker", placement.worker().getId())
                    .with(
                            "sinceDueMs",
                            wallClock.nowMs()
                                    - placement
                                            .step()
                                            .job()
                                            .dueAtMs(placement.step().occurrence()))
                    .info();
            starts.addStarts(StartProto.newBuilder()
                    .setTask(key.task().toProto())
                    .setRun(key.run())
                    .setWorker(placement.worker().getId())
                    .setBornMs(placement.worker().getBornMs())
                    .setCheckpoint(
                            placement.step().tasks().get(placement.index()).checkpoint()));
        }
        proposer.propose(GraphCommandProto.newBuilder().setStart(starts));
    }

    private List<StepDemand> demands() {
        long wallMs = wallClock.nowMs();
        List<StepDemand> demands = new ArrayList<>();
        for (JobRecord job : machine.activeJobs()) {
            Optional<QueueProto> queue = machine.queue(job.graph().getQueue());
            if (queue.isEmpty() || job.waitingTasks() == 0 || crashingJobs.giveUpIfCrashing(job)) {
                continue;
            }
            for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
                long dueAtMs = job.dueAtMs(occurrence);
                if (dueAtMs <= wallMs || job.graph().getOccurrences() == 0) {
                    Urgency urgency = Urgency.of(job, occurrence, queue.get(), dueAtMs, wallMs);
                    CostOfDelay cost = workAccount.costOfDelay(job, occurrence, queue.get(), wallMs);
                    for (StepRecord step : job.occurrences().get(occurrence)) {
                        demandOf(step, queue.get(), urgency, dueAtMs, cost).ifPresent(demands::add);
                    }
                }
            }
        }
        demands.sort(planOrder.comparing(this::weightedUse));
        return demands;
    }

    /** The thousandths of a core that a workspace uses per unit of its weight; one without weight comes last. */
    private double weightedUse(String workspace) {
        double weight = machine.configuration()
                .flatMap(configuration -> configuration.workspace(workspace))
                .map(GraphWorkspaceProto::getWeight)
                .orElse(0.0);
        double used = machine.usedBy(workspace).milliCores();
        return weight > 0 ? used / weight : Double.MAX_VALUE;
    }

    private Optional<StepDemand> demandOf(
            StepRecord step, QueueProto queue, Urgency urgency, long dueAtMs, CostOfDelay cost) {
        if (step.isDone() || step.waitingTasks() == 0 || !step.isReady()) {
            return Optional.empty();
        }
        long nowMs = clock.nowMs();
        List<Integer> waiting = new ArrayList<>();
        boolean isGang = step.spec().getGang();
        int gangRun = isGang ? step.nextGangRun() : 0;
        for (int index = 0; index < step.tasks().size(); index++) {
            TaskRecord task = step.tasks().get(index);
            int run = isGang ? gangRun : task.run() + 1;
            boolean isStartable = task.isWaiting()
                    && !proposedStarts.containsKey(new RunKey(step.key(index), run))
                    && !driver.unknownRuns().mayRun(step.key(index), nowMs);
            if (isStartable) {
                waiting.add(index);
                if (task.crashHistory().isSuspect()) {
                    suspectWaits.record(step.key(index), nowMs);
                }
            }
        }
        return waiting.isEmpty()
                ? Optional.empty()
                : Optional.of(new StepDemand(
                        step,
                        queue,
                        waiting,
                        urgency,
                        dueAtMs,
                        cost,
                        index -> isToBeKeptApart(step, index, nowMs),
                        index -> hasWaitedForOwnWorker(step, index, nowMs),
                        index -> health.workersToAvoid(step.key(index))));
    }

    /** A task under which no worker is known to have crashed is kept apart only for as long as it need not wait for that. */
    private boolean isToBeKeptApart(StepRecord step, int index, long nowMs) {
        CrashHistory history = step.tasks().get(index).crashHistory();
        boolean isCleared = history.isUnconfirmedSuspect() && hasWaitedForOwnWorker(step, index, nowMs);
        return history.isSuspect() && !isCleared;
    }

    private boolean hasWaitedForOwnWorker(StepRecord step, int index, long nowMs) {
        boolean isUnconfirmed = step.tasks().get(index).crashHistory().isUnconfirmedSuspect();
        return suspectWaits.isOver(step.key(index), isUnconfirmed, nowMs);
    }

    private List<CandidateWorker> candidateWorkers(long nowMs) {
        Map<String, CandidateWorker> candidatesById = new HashMap<>();
        List<CandidateWorker> usable = new ArrayList<>();
        Set<String> unresponsiveDomains = UnresponsiveDomains.among(driver.sessions(), nowMs);
        for (WorkerSession session : driver.sessions()) {
            boolean isHealthy =
                    health.mayStart(session.id(), session.record.runs().size(), nowMs)
                            && !unresponsiveDomains.contains(session.info().getFailureDomain());
            if (isHealthy && driver.isUsable(session, nowMs)) {
                ResourceVector capacity = ResourceVector.of(session.info().getCapacity());
                CandidateWorker candidate = new CandidateWorker(session.info(), capacity.minus(session.record.used()));
                for (RunRecord run : session.record.runs().values()) {
                    candidate.addRun(run.step());
                    if (session.mayCrashUnder(run)) {
                        candidate.isolate(run.step().job().id());
                    }
                }
                candidate.setRunningReleases(() -> releasesOf(session, nowMs));
                if (health.isDoubtful(session.id()) || session.wasSilentLately(nowMs)) {
                    candidate.markUnreliable();
                }
                candidatesById.put(session.id(), candidate);
                usable.add(candidate);
            }
        }
        for (Placement placement : proposedStarts.values()) {
            CandidateWorker candidate = candidatesById.get(placement.worker().getId());
            if (candidate != null) {
                candidate.addStart(
                        placement.step(), CapacityRelease.endOf(nowMs, runTimes.expectedMs(placement.step())));
                if (placement.task().crashHistory().isSuspect()) {
                    candidate.isolate(placement.step().job().id());
                }
            }
        }
        return usable;
    }

    private List<CapacityRelease> releasesOf(WorkerSession session, long nowMs) {
        List<CapacityRelease> releases = new ArrayList<>();
        for (RunRecord run : session.record.runs().values()) {
            long expectedMs = runTimes.expectedMs(run.step());
            RunTracker tracker = session.runs.get(run.key());
            long endMs = tracker == null
                    ? CapacityRelease.endOf(nowMs, expectedMs)
                    : tracker.expectedEndMs(expectedMs, nowMs, driver.timings().stopMs());
            releases.add(new CapacityRelease(run.step().perTask(), endMs));
        }
        return releases;
    }

    private WorkspaceQuotas quotas() {
        WorkspaceQuotas quotas = new WorkspaceQuotas();
        Map<String, ResourceVector> startingByWorkspace = new HashMap<>();
        for (Placement placement : proposedStarts.values()) {
            startingByWorkspace.merge(
                    placement.step().job().graph().getWorkspace(),
                    placement.step().perTask(),
                    ResourceVector::plus);
        }
        machine.configuration().ifPresent(configuration -> {
            for (GraphWorkspaceProto workspace : configuration.proto().getWorkspacesList()) {
                String name = workspace.getName();
                ResourceVector running =
                        machine.usedBy(name).plus(startingByWorkspace.getOrDefault(name, ResourceVector.NONE));
                quotas.add(name, ResourceVector.of(workspace.getLimit()), running);
            }
        });
        return quotas;
    }
}
