package org.lovagegrade.graph.leader;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lovagegrade.graph.machine.Evacuation;
import org.lovagegrade.graph.machine.GraphStateListener;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.graph.planning.PlanOrder;
import org.lovagegrade.graph.worker.EndedRunView;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.PoolProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Simulates a leader, a delayed log, and workers whose links lose, delay and repeat orders; checks invariants. */
final class SimulatedCell implements WorkerLink {
    static final String POOL = "pool";
    private static final String QUEUE = "queue";
    static final long LEASE_MS = 4_000;
    /** To how long a worker shortens a longer lease. */
    static final long MAX_LEASE_MS = 4_400;

    private static final long TICK_MS = 5;
    private static final ResourceVector CAPACITY = new ResourceVector(4_000, 4_000, 0);
    private static final ResourceVector HALF_CAPACITY = new ResourceVector(2_000, 4_000, 0);
    /** A leader in touch knows a smaller capacity this long and one heartbeat later. */
    private static final long CONTACT_MS = 3_000;

    private static final long HEARTBEAT_MS = 1_500;
    private static final long ANSWER_TIMEOUT_MS = 300;
    private static final long RENEWAL_TIMEOUT_MS = 800;
    static final long MAX_ORDER_DELAY_MS = 12_000;
    /** After this many crashes, a task that crashes its workers may be started less than three times more. */
    private static final int CRASH_LIMIT = 3;

    private static final int MAX_CRASHES = CRASH_LIMIT + 2;
    private static final long REBOOT_MS = 3_000;
    private static final long STOP_MS = 200;
    private static final long SLOW_STOP_MS = 900;
    /** How long after an order without an answer a worker carries it out in {@link #carryOutUnansweredOrdersLate}. */
    private static final long MIN_LATE_MS = 2_000;

    final SimulatedTime time = new SimulatedTime();
    final List<String> violations = new ArrayList<>();
    private final Random random;
    private double faultRate;
    private final DriverSafeguards safeguards;
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000_000);
    /** By address, which a worker keeps when it starts again. */
    private final Map<String, SimulatedWorker> workers = new HashMap<>();

    private final Set<String> partitioned = new HashSet<>();
    /** The addresses of workers that report nothing. */
    private final Set<String> silent = new HashSet<>();

    private final Set<TaskKey> acknowledgedDone = new HashSet<>();
    private final SimulatedOperator operator;
    private int failureDomains;
    private SimulatedLeader leader;
    private long term;
    /** The term of a paused leader whose proposals its successor commits before it leads; 0 if there is none. */
    private long inheritedTerm;

    private int nextJob;
    private long lastCommitMs;
    private boolean expectsLateOrders = true;
    private boolean acceptsExpiredStarts;
    private boolean comparesIdsOnly;
    private boolean crashesInSilence;
    private boolean carriesOutUnansweredLate;
    private boolean stopsSlowly;
    private boolean changesIds;
    /** The tasks that crash each worker that starts them, and how often each has done so. */
    private final Map<TaskKey, Integer> crashesByTask = new HashMap<>();

    private int crashesWithRunsOfOtherJobs;
    private int adoptedRuns;
    private boolean runsSucceed;
    private int maxListedEnds = Integer.MAX_VALUE;
    /** The highest run of each task that a worker has begun. */
    private final Map<TaskKey, Integer> highestRunBegun = new HashMap<>();

    /** How late the next start of a job is carried out. */
    private final Map<String, Long> lateStartsByJob = new HashMap<>();

    private String addressOfLateStart;
    private boolean runsLast;
    private final Map<String, Integer> stopsByJob = new HashMap<>();
    private long crashDelayMs = 10;
    private long rebootMs = REBOOT_MS;

    SimulatedCell(long seed, int workerCount, double faultRate) {
        this(seed, workerCount, faultRate, DriverSafeguards.allEnabled());
    }

    SimulatedCell(long seed, int workerCount, double faultRate, DriverSafeguards safeguards) {
        this.safeguards = safeguards;
        this.random = new Random(seed);
        this.faultRate = faultRate;
        this.operator = new SimulatedOperator(time, this, new Random(seed));
        machine.apply(GraphCommandProto.newBuilder()
                .setConfigure(FleetDocumentProto.newBuilder()
                        .setVersion(1)
                        .setSource(ByteString.copyFromUtf8("1"))
                        .addPools(PoolProto.newBuilder().setName(POOL))
                        .addQueues(QueueProto.newBuilder()
                                .setName(QUEUE)
                                .setPool(POOL)
                                .setMaxAttempts(1_000)))
                .build());
        for (int number = 0; number < workerCount; number++) {
            boot("w" + number + ":1", "w" + number);
        }
        elect();
        time.after(TICK_MS, this::tick);
    }

    /** From now on workers accept a start whose own lease has expired while another lease on the worker still holds. */
    void acceptExpiredStarts() {
        acceptsExpiredStarts = true;
    }

    boolean acceptsExpiredStarts() {
        return acceptsExpiredStarts;
    }

    /** From now on a worker that has started again accepts orders to its former incarnation, since its id is the same. */
    void acceptOrdersToFormerIncarnations() {
        comparesIdsOnly = true;
    }

    /** Later leaders take it that no order is carried out late. */
    void expectNoLateOrders() {
        expectsLateOrders = false;
    }

    /** From now on a renewal that awaits its answer when its worker crashes fails at its timeout only. */
    void crashInSilence() {
        crashesInSilence = true;
    }

    /** From now on all orders and renewals that go unanswered are carried out, 2 to 12 seconds later. */
    void carryOutUnansweredOrdersLate() {
        carriesOutUnansweredLate = true;
    }

    /** From now on a worker takes up to 900 ms to stop a run, which holds its resources until then. */
    void stopSlowly() {
        stopsSlowly = true;
    }

    /** From now on half of the workers that start again do so under another id, at the same address. */
    void changeIdsAtRestarts() {
        changesIds = true;
    }

    /** From now on so large a share of the orders goes unanswered. */
    void setFaultRate(double share) {
        faultRate = share;
    }

    /** Returns how long a worker takes for one stop. */
    long drawStopMs() {
        return stopsSlowly ? 1 + random.nextInt((int) SLOW_STOP_MS) : STOP_MS;
    }

    /** From now on the task crashes each worker that starts it. */
    TaskKey makeCrashing(String job, int index) {
        TaskKey task = new TaskKey(job, 0, 0, index);
        crashesByTask.put(task, 0);
        return task;
    }

    /** From now on tasks that crash their workers do so this long after their start, or at once. */
    void setCrashDelay(long delayMs) {
        crashDelayMs = delayMs;
    }

    /** From now on workers take this long to start again after such a crash. */
    void setRebootTime(long durationMs) {
        rebootMs = durationMs;
    }

    /** From now on no run fails by its own fault. */
    void makeRunsSucceed() {
        runsSucceed = true;
    }

    /** From now on runs go on until they are stopped. */
    void makeRunsLast() {
        runsLast = true;
    }

    /** From now on workers list so many ends at a time, and the others once these are acknowledged. */
    void listEndsInPagesOf(int maxEnds) {
        maxListedEnds = maxEnds;
    }

    int maxListedEnds() {
        return maxListedEnds;
    }

    /** Ends a run of the job just as the leader dies: the end is committed, but no leader has reacted to it. */
    void loseRunAsTheLeaderDies(String job) {
        RunRecord lost = machine.runs().values().stream()
                .filter(run -> run.key().task().job().equals(job))
                .findFirst()
                .orElseThrow();
        String address = machine.workers().get(lost.worker()).info().getAddress();
        EndedRunView end =
                workers.get(address).end(lost.key(), RunEndProto.RUN_FAILED).orElseThrow();
        elect();
        machine.apply(GraphCommandProto.newBuilder()
                .setAtMs(time.nowMs())
                .setEnd(EndsProto.newBuilder()
                        .setWorker(lost.worker())
                        .setBornMs(lost.bornMs())
                        .setCursor(end.number())
                        .addEnds(EndProto.newBuilder()
                                .setTask(lost.key().task().toProto())
                                .setRun(lost.key().run())
                                .setHow(RunEndProto.RUN_FAILED)))
                .build());
    }

    /** Ends the run of a job with one task, as its worker lists it from then on. */
    void endRunOf(String job, RunEndProto how) {
        RunRecord run = machine.runs().values().stream()
                .filter(each -> each.key().task().job().equals(job))
                .findFirst()
                .orElseThrow();
        workers.get(machine.workers().get(run.worker()).info().getAddress()).end(run.key(), how);
    }

    /** How many orders to stop a run of the job were sent. */
    int stopsSentFor(String job) {
        return stopsByJob.getOrDefault(job, 0);
    }

    /** How many workers crashed under a crashing task while they also had runs of other jobs. */
    int crashesWithRunsOfOtherJobs() {
        return crashesWithRunsOfOtherJobs;
    }

    /** How many runs have gone on with the next incarnation of their worker. */
    int adoptedRuns() {
        return adoptedRuns;
    }

    int crashesOf(TaskKey task) {
        return crashesByTask.get(task);
    }

    /** Distributes the workers over failure domains. */
    void spreadOverDomains(int count) {
        failureDomains = count;
        workers.values().forEach(worker -> worker.moveTo(domainOf(worker.info().getAddress())));
    }

    /** The failure domains that are evacuated according to the log. */
    Set<String> evacuatedDomains() {
        return machine.evacuations().all().stream()
                .filter(Evacuation::isActive)
                .map(Evacuation::failureDomain)
                .collect(Collectors.toSet());
    }

    /** Returns the failure domain of the workers at an address, or an empty string if there are no failure domains. */
    private String domainOf(String address) {
        int number = Integer.parseInt(address.substring(1, address.indexOf(':')));
        return failureDomains == 0 ? "" : domain(number % failureDomains);
    }

    static String domain(int number) {
        return "z" + number;
    }

    SimulatedOperator operator() {
        return operator;
    }

    /** The leader's handler of orders about failure domains, or empty while there is no leader. */
    Optional<EvacuationRequestHandler> evacuationHandler() {
        return leader == null ? Optional.empty() : Optional.of(leader.evacuationHandler());
    }

    // --- events

    void elect() {
        if (leader != null) {
            leader.close();
        }
        replaceLeader();
    }

    /** Stops all replicas at once; their successors read the state from disk. */
    void losePower() {
        elect();
        machine.restore(machine.snapshot());
    }

    /** Stops all replicas at once for a time; their successors read the state from disk. */
    void losePower(long lengthMs) {
        if (leader != null) {
            leader.close();
        }
        leader = null;
        machine.setListener(GraphStateListener.NONE);
        machine.restore(machine.snapshot());
        inheritedTerm = 0;
        term++;
        long darkTerm = term;
        time.after(lengthMs, () -> {
            if (term == darkTerm) {
                replaceLeader();
            }
        });
    }

    /** Whether a replica leads, without which nothing is committed. */
    boolean hasLeader() {
        return leader != null;
    }

    /** Freezes the leader; another one succeeds it meanwhile, and the frozen one then finds its queued messages. */
    void freezeLeader(long lengthMs) {
        if (leader == null) {
            return;
        }
        SimulatedLeader frozen = leader;
        frozen.freeze();
        time.after(lengthMs, frozen::wakeAndClose);
        replaceLeader();
    }

    /**
     * Freezes the leader, whose successor commits what the frozen one has proposed; the frozen one applies these entries
     * before it finds its queued messages and learns that it is deposed.
     */
    void pauseLeader(long lengthMs) {
        if (leader == null) {
            return;
        }
        SimulatedLeader paused = leader;
        paused.freeze();
        List<RunRecord> startedMeanwhile = new ArrayList<>();
        long pausedTerm = term;
        replaceLeader();
        inheritedTerm = pausedTerm;
        machine.setListener(new GraphStateListener() {
            @Override
            public void runStarted(RunRecord run) {
                startedMeanwhile.add(run);
            }
        });
        time.after(lengthMs, () -> {
            startedMeanwhile.forEach(paused.duties()::runStarted);
            paused.wakeAndClose();
        });
    }

    private void replaceLeader() {
        leader = null;
        machine.setListener(GraphStateListener.NONE);
        inheritedTerm = 0;
        term++;
        long ownTerm = term;
        time.after(1 + random.nextInt(1_000), () -> {
            if (term == ownTerm) {
                lead(ownTerm);
            }
        });
    }

    private void lead(long ownTerm) {
        CommandProposer proposer = command -> commit(ownTerm, command, _reply -> {});
        SimulatedLeaderLink link = new SimulatedLeaderLink(this);
        SimulatedLeader.MessageQueue queue = new SimulatedLeader.MessageQueue();
        EvacuationRequestHandler evacuationHandler = new EvacuationRequestHandler(
                machine, Set.of(), (command, reply) -> commit(ownTerm, command, reply), Metrics.create());
        WorkerDriver driver = new WorkerDriver(
                new WorkerDriver.Dependencies(
                        link,
                        queue,
                        proposer,
                        timings(),
                        time,
                        Metrics.create(),
                        link::isEvacuated,
                        () -> term == ownTerm,
                        safeguards),
                ownTerm,
                time.nowMs());
        GraphLeader duties =
                new GraphLeader(machine, driver, proposer, time, time, PlanOrder.urgency(), Metrics.create());
        leader = new SimulatedLeader(duties, queue, link, evacuationHandler);
        machine.setListener(duties);
    }

    private LeaderTimings timings() {
        return new LeaderTimings(
                LEASE_MS,
                MAX_LEASE_MS,
                expectsLateOrders ? MAX_ORDER_DELAY_MS : 0,
                stopsSlowly ? SLOW_STOP_MS : STOP_MS,
                HEARTBEAT_MS,
                CONTACT_MS);
    }

    /** Commits after a random delay, in the order of the proposals, as one leader's log does. */
    private void commit(long ownTerm, GraphCommandProto.Builder command, Consumer<GraphReplyProto> reply) {
        lastCommitMs = Math.max(lastCommitMs, time.nowMs() + 1 + random.nextInt(15));
        time.after(lastCommitMs - time.nowMs(), () -> {
            boolean isInherited = leader == null && inheritedTerm == ownTerm;
            if (term == ownTerm || isInherited) {
                adoptedRuns += command.getSuccession().getAdoptedCount();
                GraphReplyProto answer =
                        machine.apply(command.setAtMs(time.nowMs()).build());
                if (!isInherited) {
                    reply.accept(answer);
                }
            }
        });
    }

    private void tick() {
        if (leader != null) {
            leader.duties().tick(time.nowMs());
            for (SimulatedWorker worker : workers.values()) {
                heartbeat(worker);
            }
        }
        time.after(TICK_MS, this::tick);
    }

    private void heartbeat(SimulatedWorker worker) {
        boolean isReachable = worker.isUp()
                && !partitioned.contains(worker.info().getAddress())
                && !silent.contains(worker.info().getAddress());
        boolean isDue = random.nextInt(100) == 0 || time.nowMs() % HEARTBEAT_MS < TICK_MS;
        if (isReachable && isDue) {
            worker.countReport();
            long ownTerm = term;
            leader.duties()
                    .handleWorkerReport(worker.info(), () -> {}, command -> commit(ownTerm, command, _reply -> {}));
        }
    }

    /** Delivers a report that another writer has made up. */
    void report(WorkerProto reported) {
        long ownTerm = term;
        leader.duties().handleWorkerReport(reported, () -> {}, command -> commit(ownTerm, command, _reply -> {}));
    }

    private void boot(String address, String id) {
        WorkerProto info = WorkerProto.newBuilder()
                .setId(id)
                .setBornMs(time.nowMs())
                .setAddress(address)
                .setPool(POOL)
                .setFailureDomain(domainOf(address))
                .setSequence(1)
                .setCapacity(ResourcesProto.newBuilder()
                        .setMilliCores(CAPACITY.milliCores())
                        .setMemoryMb(CAPACITY.memoryMb()))
                .build();
        workers.put(address, new SimulatedWorker(time, this, info, random.nextBoolean()));
    }

    private void bootAgain(WorkerProto former) {
        boolean changesId = changesIds && random.nextBoolean();
        boot(former.getAddress(), changesId ? former.getId() + "b" : former.getId());
    }

    private SimulatedWorker worker(int number) {
        return workers.get("w" + number % workers.size() + ":1");
    }

    private SimulatedWorker drawWorker() {
        return worker(random.nextInt(workers.size()));
    }

    void crashOne() {
        crash(drawWorker(), 500 + random.nextInt(4_000));
    }

    void crashWorkerAt(int number) {
        crash(worker(number), REBOOT_MS);
    }

    /** Crashes a worker, which starts again under its id after the given time. */
    void crashWorkerAt(int number, long durationMs) {
        crash(worker(number), durationMs);
    }

    /** Crashes a worker that has a run of the job. */
    void crashWorkerOf(String job) {
        crash(workerOf(job), REBOOT_MS);
    }

    /** Cuts a worker off for a time that has a run of the job. */
    void partitionWorkerOf(String job, long lengthMs) {
        partition(workerOf(job), lengthMs);
    }

    private SimulatedWorker workerOf(String job) {
        return workers.values().stream()
                .filter(worker -> machine.runs().values().stream()
                        .filter(run -> run.key().task().job().equals(job))
                        .anyMatch(run -> worker.isRunning(run.key().task())))
                .findFirst()
                .orElseThrow();
    }

    /** Crashes some workers at the same moment, as the loss of a rack does. */
    void crashTogether(int count) {
        int first = random.nextInt(workers.size());
        for (int offset = 0; offset < count; offset++) {
            crash(worker(first + offset), REBOOT_MS);
        }
    }

    /** Crashes the worker at an address, which starts again under its id after the given time. */
    void crashWorkerAt(String address, long durationMs) {
        crash(workers.get(address), durationMs);
    }

    /** Cuts the worker at an address off for a time. */
    void partitionWorkerAt(String address, long lengthMs) {
        partition(workers.get(address), lengthMs);
    }

    private void crash(SimulatedWorker worker, long durationMs) {
        if (worker.isUp()) {
            worker.crash();
            time.after(durationMs, () -> bootAgain(worker.info()));
        }
    }

    void partitionOne(long lengthMs) {
        partition(drawWorker(), lengthMs);
    }

    /** Cuts a worker off for a time. */
    void partition(int number, long lengthMs) {
        partition(worker(number), lengthMs);
    }

    private void partition(SimulatedWorker worker, long lengthMs) {
        String address = worker.info().getAddress();
        partitioned.add(address);
        time.after(lengthMs, () -> partitioned.remove(address));
    }

    /** What a worker reports of itself. */
    WorkerProto reportOf(int number) {
        return worker(number).info();
    }

    /** Announces that a worker leaves, which reports nothing after that but goes on with its runs. */
    void leave(int number) {
        WorkerProto leaving = worker(number).info();
        silent.add(leaving.getAddress());
        leader.duties().handleWorkerLeaving(leaving.getId(), () -> {});
    }

    /** Announces the end of a worker in its name. */
    void announceEnd(int number) {
        leader.duties().handleWorkerLeaving(worker(number).info().getId(), () -> {});
    }

    /** Shrinks a worker to a half of its capacity, or lets a shrunk one grow again. */
    void resizeOne() {
        SimulatedWorker worker = drawWorker();
        boolean isWhole = ResourceVector.of(worker.info().getCapacity()).equals(CAPACITY);
        worker.resize(isWhole ? HALF_CAPACITY : CAPACITY, CONTACT_MS + HEARTBEAT_MS);
    }

    /** Withdraws a worker with notice; another incarnation follows it. */
    void drainOne(long noticeMs) {
        SimulatedWorker worker = drawWorker();
        worker.drain(noticeMs);
        time.after(noticeMs, () -> {
            if (workers.get(worker.info().getAddress()) == worker) {
                crash(worker, REBOOT_MS);
            }
        });
    }

    String submit(StepProto... steps) {
        String id = "job" + nextJob++;
        GraphProto.Builder graph =
                GraphProto.newBuilder().setId(id).setQueue(QUEUE).setWorkspace("team");
        for (StepProto step : steps) {
            graph.addSteps(step);
        }
        machine.apply(GraphCommandProto.newBuilder()
                .setAtMs(time.nowMs())
                .setSubmit(graph)
                .build());
        return id;
    }

    void cancel(String id) {
        machine.apply(GraphCommandProto.newBuilder()
                .setAtMs(time.nowMs())
                .setCancel(id)
                .build());
    }

    void cancelAll() {
        machine.activeJobs().stream().map(JobRecord::id).toList().forEach(this::cancel);
    }

    JobRecord job(String id) {
        return machine.job(id).orElseThrow();
    }

    GraphStateMachine machine() {
        return machine;
    }

    static StepProto tasks(int count, long milliCores, boolean gang, int... after) {
        StepProto.Builder step = StepProto.newBuilder()
                .setCount(count)
                .setGang(gang)
                .setPerTask(
                        ResourcesProto.newBuilder().setMilliCores(milliCores).setMemoryMb(10));
        for (int earlier : after) {
            step.addAfter(earlier);
        }
        return step.build();
    }

    /** Schedules the end of a run after a random time, as failed or done, or the crash of its worker. */
    void scheduleEnd(SimulatedWorker worker, RunKey run) {
        if (crashesByTask.containsKey(run.task())) {
            if (crashDelayMs < ANSWER_TIMEOUT_MS && random.nextBoolean()) {
                crashUnder(worker, run);
            } else {
                time.after(crashDelayMs, () -> crashUnder(worker, run));
            }
            return;
        }
        if (runsLast || isLasting(run) || isGangWithCrashingMember(run)) {
            return;
        }
        boolean fails = random.nextInt(20) == 0 && !runsSucceed;
        RunEndProto how = fails ? RunEndProto.RUN_FAILED : RunEndProto.RUN_DONE;
        time.after(50 + random.nextInt(1_500), () -> worker.end(run, how));
    }

    private boolean isLasting(RunKey run) {
        TaskKey task = run.task();
        return job(task.job()).step(task.occurrence(), task.step()).spec().getLasting();
    }

    /** Such a gang never completes, since its members work only together. */
    private boolean isGangWithCrashingMember(RunKey run) {
        return job(run.task().job())
                        .step(run.task().occurrence(), run.task().step())
                        .spec()
                        .getGang()
                && crashesByTask.keySet().stream()
                        .anyMatch(task -> task.stepName().equals(run.task().stepName()));
    }

    private void crashUnder(SimulatedWorker worker, RunKey run) {
        if (!worker.isRunning(run.task())) {
            return;
        }
        int crashes = crashesByTask.merge(run.task(), 1, Integer::sum);
        check("start budget", crashes <= MAX_CRASHES, () -> run + " crashed " + crashes + " workers");
        crashesWithRunsOfOtherJobs += worker.runsOtherJobsThan(run.task().job()) ? 1 : 0;
        crash(worker, rebootMs);
    }

    boolean savesCheckpoints(TaskKey task) {
        return job(task.job()).step(task.occurrence(), task.step()).spec().getCheckpointing();
    }

    ResourceVector resourcesOf(TaskKey task) {
        return job(task.job()).step(task.occurrence(), task.step()).perTask();
    }

    // --- invariants

    void check(String invariant, boolean holds, Supplier<String> context) {
        if (!holds) {
            violations.add(time.nowMs() + " " + invariant + ": " + context.get());
        }
    }

    /** The violations of one invariant. */
    List<String> violationsOf(String invariant) {
        return violations.stream()
                .filter(violation -> violation.contains(" " + invariant + ": "))
                .toList();
    }

    void checkStart(SimulatedWorker worker, RunKey run) {
        operator.checkStart(worker.info(), run);
        TaskKey task = run.task();
        for (SimulatedWorker other : workers.values()) {
            check(
                    "one run at a time",
                    !other.isRunning(task),
                    () -> run + " on " + worker.info().getId() + " and "
                            + other.info().getId());
        }
        check("no run after the end", !acknowledgedDone.contains(task), () -> run + " was done");
        highestRunBegun.merge(task, run.run(), Math::max);
        check(
                "order of steps",
                job(task.job()).step(task.occurrence(), task.step()).isReady(),
                () -> run + " before the steps that it depends on");
    }

    void acknowledged(EndedRunView end, boolean leaseHolds) {
        check(
                "ends committed before they are forgotten",
                !machine.runs().containsKey(end.key()),
                () -> end.key() + " has ended " + end.how());
        boolean isSingle = !job(end.key().task().job())
                .step(end.key().task().occurrence(), end.key().task().step())
                .spec()
                .getGang();
        if (end.how() == RunEndProto.RUN_DONE && leaseHolds && isSingle) {
            int highestRun = highestRunBegun.get(end.key().task());
            check(
                    "no run after the end",
                    highestRun <= end.key().run(),
                    () -> end.key() + " was done, and run " + highestRun + " was begun");
            acknowledgedDone.add(end.key().task());
        }
    }

    // --- links with faults

    /** Leaves the first start of each run of the job unanswered, and carries it out so much later. */
    void carryOutStartsLate(String job, long delayMs) {
        lateStartsByJob.put(job, delayMs);
    }

    /** The worker to which a start went that is carried out late, by {@link #carryOutStartsLate}. */
    Optional<String> addressOfLateStart() {
        return Optional.ofNullable(addressOfLateStart);
    }

    private void startLate(WorkerProto worker, StartOrder order, long delayMs, Consumer<OrderOutcome> result) {
        addressOfLateStart = worker.getAddress();
        time.after(ANSWER_TIMEOUT_MS, () -> result.accept(new OrderOutcome.Unanswered()));
        time.after(delayMs, () -> execute(worker, (target, isLate) -> target.start(order, isLate), true, _late -> {}));
    }

    @Override
    public void start(WorkerProto worker, StartOrder order, Consumer<OrderOutcome> result) {
        Long delayMs = lateStartsByJob.remove(order.run().task().job());
        if (delayMs != null) {
            startLate(worker, order, delayMs, result);
            return;
        }
        deliver(worker, (target, isLate) -> target.start(order, isLate), result);
    }

    /** Starts a run by the order of a leader that reaches all workers. */
    void startAcrossPartitions(WorkerProto worker, StartOrder order, Consumer<OrderOutcome> result) {
        Set<String> presentPartitions = Set.copyOf(partitioned);
        partitioned.clear();
        start(worker, order, result);
        partitioned.addAll(presentPartitions);
    }

    @Override
    public void stop(WorkerProto worker, RunKey run, long fencingToken, Consumer<OrderOutcome> result) {
        stopsByJob.merge(run.task().job(), 1, Integer::sum);
        deliver(worker, (target, _isLate) -> target.stop(run, fencingToken), result);
    }

    /** The execution of an order by a worker. */
    @FunctionalInterface
    private interface Order {
        OrderOutcome executeOn(SimulatedWorker worker, boolean isLate);
    }

    private void deliver(WorkerProto to, Order order, Consumer<OrderOutcome> result) {
        boolean isPartitioned = partitioned.contains(to.getAddress());
        if (random.nextDouble() < faultRate) {
            time.after(ANSWER_TIMEOUT_MS, () -> result.accept(new OrderOutcome.Unanswered()));
            boolean arrivesLate = carriesOutUnansweredLate || random.nextBoolean();
            if (arrivesLate) {
                time.after(drawLateMs(), () -> execute(to, order, true, _late -> {}));
            } else if (!isPartitioned) {
                time.after(1, () -> execute(to, order, false, _lost -> {}));
            }
            return;
        }
        if (isPartitioned) {
            time.after(ANSWER_TIMEOUT_MS, () -> result.accept(new OrderOutcome.Unanswered()));
            return;
        }
        time.after(1 + random.nextInt(4), () -> execute(to, order, false, result));
    }

    private long drawLateMs() {
        long minMs = carriesOutUnansweredLate ? MIN_LATE_MS : 1_000;
        return minMs + random.nextInt((int) (MAX_ORDER_DELAY_MS - minMs));
    }

    /** Whether a worker takes itself to be the one that an order was sent to. */
    private boolean isAddressee(SimulatedWorker worker, WorkerProto to) {
        boolean isSameIncarnation = worker.info().getBornMs() == to.getBornMs();
        return worker.info().getId().equals(to.getId()) && (comparesIdsOnly || isSameIncarnation);
    }

    private void execute(WorkerProto to, Order order, boolean isLate, Consumer<OrderOutcome> result) {
        SimulatedWorker worker = workers.get(to.getAddress());
        if (worker == null || !worker.isUp()) {
            result.accept(new OrderOutcome.NotSent());
        } else if (!isAddressee(worker, to)) {
            result.accept(new OrderOutcome.Refused(OrderRefusal.OTHER_LIFE));
        } else {
            OrderOutcome outcome = order.executeOn(worker, isLate);
            result.accept(worker.isUp() ? outcome : new OrderOutcome.Unanswered());
        }
    }

    @Override
    public void renew(WorkerProto to, RenewOrder order, Consumer<RenewOutcome> result) {
        boolean isFaulty = partitioned.contains(to.getAddress()) || random.nextDouble() < faultRate;
        if (isFaulty) {
            time.after(ANSWER_TIMEOUT_MS, () -> result.accept(new RenewOutcome.Unanswered(false)));
            if (carriesOutUnansweredLate) {
                time.after(drawLateMs(), () -> renewLate(to, order));
            }
            return;
        }
        SimulatedWorker addressee = workers.get(to.getAddress());
        boolean wasUp = addressee != null && addressee.isUp();
        time.after(1 + random.nextInt(4) + Math.min(order.waitMs(), random.nextInt(200)), () -> {
            SimulatedWorker worker = workers.get(to.getAddress());
            if (crashesInSilence && wasUp && !addressee.isUp()) {
                time.after(
                        order.waitMs() + RENEWAL_TIMEOUT_MS, () -> result.accept(new RenewOutcome.Unanswered(false)));
                return;
            }
            boolean isReachable = worker != null && worker.isUp() && !partitioned.contains(to.getAddress());
            if (isReachable && !isAddressee(worker, to)) {
                result.accept(new RenewOutcome.Refused(OrderRefusal.OTHER_LIFE));
            } else if (isReachable) {
                result.accept(worker.renew(order, false));
            } else {
                result.accept(new RenewOutcome.Unanswered(false));
            }
        });
    }

    @Override
    public void identify(WorkerProto worker, long fencingToken, Consumer<RenewOutcome> result) {
        renew(worker, new RenewOrder(fencingToken, 0, 0, 0), result);
    }

    private void renewLate(WorkerProto to, RenewOrder order) {
        SimulatedWorker worker = workers.get(to.getAddress());
        if (worker.isUp() && isAddressee(worker, to)) {
            worker.renew(order, true);
        }
    }

    @Override
    public void disconnect(WorkerProto _worker) {}
}
