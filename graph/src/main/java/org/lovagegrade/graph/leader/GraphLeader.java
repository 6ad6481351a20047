package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagegrade.graph.advice.AdviceBroker;
import org.lovagegrade.graph.advice.Verdict;
import org.lovagegrade.graph.machine.GraphStateListener;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.machine.TaskRecord;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.graph.planning.AdviceLookup;
import org.lovagegrade.graph.planning.AdviceRequest;
import org.lovagegrade.graph.planning.CandidateWorker;
import org.lovagegrade.graph.planning.Placement;
import org.lovagegrade.graph.planning.Plan;
import org.lovagegrade.graph.planning.PlanOrder;
import org.lovagegrade.graph.planning.Planner;
import org.lovagegrade.graph.planning.StepDemand;
import org.lovagegrade.graph.planning.Urgency;
import org.lovagegrade.graph.planning.WorkspaceQuotas;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.AdvicePollProto;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.WorkerGoneProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** The leader's work during one term: it plans starts, drives the workers and asks the adviser. */
final class GraphLeader implements GraphStateListener {
    /** The shortest time between two plans, so that changes that arrive together are planned together. */
    private static final long PLAN_INTERVAL_MS = 4;
    /** The longest time between two plans, for tasks that become due and tickets that expire. */
    private static final long IDLE_PLAN_INTERVAL_MS = 200;

    private static final long STALL_CHECK_INTERVAL_MS = 250;

    private final GraphStateMachine machine;
    private final WorkerDriver driver;
    private final Proposals proposals;
    private final Clock clock;
    private final Clock wallClock;
    private final PlanOrder order;
    private final AdviceBroker advice = new AdviceBroker();
    private final WorkerHealth health = new WorkerHealth();
    private final Map<RunKey, Placement> planned = new HashMap<>();
    private boolean dirty = true;
    private long nextPlanMs;
    private long nextStallCheckMs;
    private long idlePlanMs;

    GraphLeader(
            GraphStateMachine machine,
            WorkerDriver driver,
            Proposals proposals,
            Clock clock,
            Clock wallClock,
            PlanOrder order) {
        this.machine = machine;
        this.driver = driver;
        this.proposals = proposals;
        this.clock = clock;
        this.wallClock = wallClock;
        this.order = order;
        long nowMs = clock.nowMs();
        machine.workers().values().forEach(worker -> driver.workerChanged(worker, nowMs));
    }

    void close() {
        driver.close();
    }

    void tick(long nowMs) {
        driver.tick(nowMs);
        if (nowMs >= nextStallCheckMs) {
            nextStallCheckMs = nowMs + STALL_CHECK_INTERVAL_MS;
            stopStalled(nowMs);
        }
        advice.tick(nowMs);
        boolean isDue = (dirty && nowMs >= nextPlanMs) || nowMs >= idlePlanMs;
        if (isDue) {
            plan(nowMs);
        }
    }

    /** Stops runs that make no progress; they continue on other workers from their last checkpoint. */
    private void stopStalled(long nowMs) {
        for (RunRecord run : driver.stalled()) {
            Log.event("runStalled")
                    .with("run", run.key().toString())
                    .with("worker", run.worker())
                    .warn();
            health.stalled(run.worker(), run.key().task(), nowMs);
            driver.unwanted(run, nowMs);
            dirty = true;
        }
    }

    // --- requests

    void worker(WorkerProto said, Runnable known, Consumer<GraphCommandProto.Builder> propose) {
        long nowMs = clock.nowMs();
        WorkerRecord present = machine.workers().get(said.getId());
        if (present == null || present.info().getBornMs() < said.getBornMs()) {
            boolean isOld = present == null && isOlderThanHolder(said);
            if (isOld) {
                known.run();
            } else {
                propose.accept(GraphCommandProto.newBuilder().setWorker(said));
            }
            return;
        }
        boolean isStale =
                present.info().getBornMs() > said.getBornMs() || present.info().getSequence() > said.getSequence();
        driver.session(said.getId()).ifPresent(session -> session.beatAtMs = nowMs);
        if (isStale || isUnchanged(present.info(), said)) {
            known.run();
        } else {
            propose.accept(GraphCommandProto.newBuilder().setWorker(said));
        }
    }

    /** A delayed heartbeat may arrive after a later incarnation has taken over its address. */
    private boolean isOlderThanHolder(WorkerProto said) {
        return said.getBornMs() != 0
                && machine.workers().values().stream()
                        .anyMatch(worker -> worker.info().getAddress().equals(said.getAddress())
                                && worker.info().getBornMs() > said.getBornMs());
    }

    private static boolean isUnchanged(WorkerProto present, WorkerProto said) {
        return present.toBuilder()
                .setSequence(0)
                .build()
                .equals(said.toBuilder().setSequence(0).build());
    }

    void workerLeaves(String worker, Runnable known) {
        Optional<WorkerSession> session = driver.session(worker);
        if (session.isPresent()) {
            session.get().leaving = true;
            if (session.get().record.runs().isEmpty()) {
                proposals.propose(GraphCommandProto.newBuilder()
                        .setWorkerGone(WorkerGoneProto.newBuilder()
                                .setWorker(worker)
                                .setBornMs(session.get().info().getBornMs())));
            }
        }
        known.run();
    }

    void advicePoll(AdvicePollProto poll, Consumer<List<AdviceQuestionProto>> reply) {
        dirty |= advice.poll(poll.getCaller(), poll.getResultsList(), reply, clock.nowMs());
    }

    // --- committed changes

    @Override
    public void runStarted(RunRecord run) {
        planned.remove(run.key());
        long nowMs = clock.nowMs();
        String step = run.step().name();
        driver.started(run, advice.ticket(step, run.worker()), nowMs);
        dirty = true;
    }

    @Override
    public void startRejected(RunKey key) {
        planned.remove(key);
        dirty = true;
    }

    @Override
    public void runEnded(RunRecord run, RunEndProto how) {
        driver.ended(run);
        dirty = true;
        if (how == RunEndProto.RUN_DONE) {
            health.completed(run.worker());
        } else if (how == RunEndProto.RUN_FAILED) {
            health.failed(run.worker(), run.key().task(), clock.nowMs());
        }
        if (how == RunEndProto.RUN_REFUSED) {
            advice.ticketRefused(run.step().name(), run.worker());
        }
        boolean isGangMemberLost = run.step().spec().getGang() && how != RunEndProto.RUN_DONE;
        if (isGangMemberLost) {
            stopOtherMembers(run);
        }
    }

    /** Stops the other members of a gang that has lost one, since it can no longer complete. */
    private void stopOtherMembers(RunRecord lost) {
        long nowMs = clock.nowMs();
        for (RunRecord run : List.copyOf(lost.step().runs())) {
            if (run.key().run() == lost.key().run()) {
                driver.unwanted(run, nowMs);
            }
        }
    }

    @Override
    public void runObsolete(RunRecord run) {
        driver.unwanted(run, clock.nowMs());
    }

    @Override
    public void jobAccepted(JobRecord job) {
        dirty = true;
        Log.event("jobAccepted")
                .with("job", job.id())
                .with("queue", job.graph().getQueue())
                .with("workspace", job.graph().getWorkspace())
                .with("steps", job.graph().getStepsCount())
                .info();
    }

    @Override
    public void jobFinished(JobRecord job) {
        dirty = true;
        job.occurrences().forEach(steps -> steps.forEach(step -> advice.forgetStep(step.name())));
        health.forgetJob(job.id());
        Log.event("jobOver")
                .with("job", job.id())
                .with("state", job.state().name())
                .with("tookMs", wallClock.nowMs() - job.acceptedAtMs())
                .info();
    }

    @Override
    public void workerChanged(WorkerRecord worker) {
        dirty = true;
        driver.workerChanged(worker, clock.nowMs());
    }

    @Override
    public void workerRemoved(WorkerRecord worker) {
        dirty = true;
        driver.workerGone(worker);
        advice.forgetWorker(worker.info().getId());
        health.forgetWorker(worker.info().getId());
    }

    @Override
    public void configurationChanged() {
        dirty = true;
        machine.configuration()
                .ifPresent(document -> Log.event("documentInForce")
                        .with("version", document.proto().getVersion())
                        .with("queues", document.proto().getQueuesCount())
                        .info());
    }

    // --- planning

    private void plan(long nowMs) {
        dirty = false;
        nextPlanMs = nowMs + PLAN_INTERVAL_MS;
        idlePlanMs = nowMs + IDLE_PLAN_INTERVAL_MS;
        List<StepDemand> demands = demands();
        if (demands.isEmpty()) {
            return;
        }
        Plan plan = new Planner(slots(nowMs), tickets(nowMs), quotas()).plan(demands);
        for (AdviceRequest wish : plan.adviceRequests()) {
            Log.event("adviceWanted")
                    .with("step", wish.step())
                    .with("workers", wish.workers().size())
                    .with("waiting", advice.queuedQuestions())
                    .info();
            advice.request(wish.step(), wish.workers(), wish.priority(), wish.costMs(), nowMs);
        }
        if (!plan.placements().isEmpty()) {
            propose(plan.placements());
        }
    }

    private void propose(List<Placement> placements) {
        StartsProto.Builder starts = StartsProto.newBuilder();
        for (Placement placement : placements) {
            RunKey key = new RunKey(placement.step().key(placement.index()), placement.run());
            planned.put(key, placement);
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
        proposals.propose(GraphCommandProto.newBuilder().setStart(starts));
    }

    private List<StepDemand> demands() {
        long wallMs = wallClock.nowMs();
        List<StepDemand> demands = new ArrayList<>();
        for (JobRecord job : machine.activeJobs()) {
            Optional<QueueProto> queue = machine.queue(job.graph().getQueue());
            if (queue.isEmpty() || job.waitingTasks() == 0) {
                continue;
            }
            for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
                long dueAtMs = job.dueAtMs(occurrence);
                if (dueAtMs <= wallMs || job.graph().getOccurrences() == 0) {
                    Urgency urgency = Urgency.of(job, occurrence, queue.get(), dueAtMs, wallMs);
                    for (StepRecord step : job.occurrences().get(occurrence)) {
                        demandOf(step, queue.get(), urgency, dueAtMs).ifPresent(demands::add);
                    }
                }
            }
        }
        demands.sort(order.comparing(this::useOfShare));
        return demands;
    }

    /** The thousandths of a core that a workspace uses per unit of its weight; one without weight comes last. */
    private double useOfShare(String workspace) {
        double weight = machine.configuration()
                .flatMap(document -> document.workspace(workspace))
                .map(GraphWorkspaceProto::getWeight)
                .orElse(0.0);
        double used = machine.usedBy(workspace).milliCores();
        return weight > 0 ? used / weight : Double.MAX_VALUE;
    }

    private Optional<StepDemand> demandOf(StepRecord step, QueueProto queue, Urgency urgency, long dueAtMs) {
        if (step.isDone() || step.waitingTasks() == 0 || !step.isReady()) {
            return Optional.empty();
        }
        List<Integer> waiting = new ArrayList<>();
        boolean isGang = step.spec().getGang();
        int gangRun = isGang ? step.nextGangRun() : 0;
        for (int index = 0; index < step.tasks().size(); index++) {
            TaskRecord task = step.tasks().get(index);
            int run = isGang ? gangRun : task.run() + 1;
            if (task.isWaiting() && !planned.containsKey(new RunKey(step.key(index), run))) {
                waiting.add(index);
            }
        }
        return waiting.isEmpty()
                ? Optional.empty()
                : Optional.of(new StepDemand(
                        step, queue, waiting, urgency, dueAtMs, index -> health.failedAt(step.key(index))));
    }

    private List<CandidateWorker> slots(long nowMs) {
        Map<String, CandidateWorker> slots = new HashMap<>();
        List<CandidateWorker> usable = new ArrayList<>();
        Set<String> silent = SilentDomains.among(driver.sessions(), nowMs);
        for (WorkerSession session : driver.sessions()) {
            boolean isWell = health.mayTake(session.id(), session.record.runs().size(), nowMs)
                    && !silent.contains(session.info().getFailureDomain());
            if (isWell && session.isUsable(nowMs)) {
                ResourceVector capacity = ResourceVector.of(session.info().getCapacity());
                CandidateWorker slot = new CandidateWorker(session.info(), capacity.minus(session.record.used()));
                for (RunRecord run : session.record.runs().values()) {
                    if (run.step().spec().getMostPerWorker() > 0) {
                        slot.addTasks(run.step().name(), 1);
                    }
                }
                slots.put(session.id(), slot);
                usable.add(slot);
            }
        }
        for (Placement placement : planned.values()) {
            CandidateWorker slot = slots.get(placement.worker().getId());
            if (slot != null) {
                slot.addPendingStart(placement.step());
            }
        }
        return usable;
    }

    private AdviceLookup tickets(long nowMs) {
        return new AdviceLookup() {
            @Override
            public Verdict verdict(String step, String worker) {
                return advice.verdict(step, worker, nowMs);
            }

            @Override
            public boolean isPending(String step) {
                return advice.isPending(step);
            }
        };
    }

    private WorkspaceQuotas quotas() {
        WorkspaceQuotas quotas = new WorkspaceQuotas();
        Map<String, ResourceVector> beingStarted = new HashMap<>();
        for (Placement placement : planned.values()) {
            beingStarted.merge(
                    placement.step().job().graph().getWorkspace(),
                    placement.step().perTask(),
                    ResourceVector::plus);
        }
        machine.configuration().ifPresent(document -> {
            for (GraphWorkspaceProto workspace : document.proto().getWorkspacesList()) {
                String name = workspace.getName();
                ResourceVector running =
                        machine.usedBy(name).plus(beingStarted.getOrDefault(name, ResourceVector.NONE));
                quotas.add(name, ResourceVector.of(workspace.getLimit()), running);
            }
        });
        return quotas;
    }
}
