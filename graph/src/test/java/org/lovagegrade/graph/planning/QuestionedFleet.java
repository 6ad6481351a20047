package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.lovagegrade.graph.advice.AdviceBroker;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;
import org.lovagegrade.wire.proto.AdviceTicketProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * Simulates a fleet whose steps need the adviser's tickets: plans, questions, answers, and runs that end. Processes that
 * ask the adviser may lose their questions or vanish.
 */
final class QuestionedFleet {
    private static final long PLAN_INTERVAL_MS = 50;
    private static final CostOfDelay COST =
            CostOfDelay.of(WorkItem.of("j", "team", 1, Objective.within(1_000), RemainingWork.of(100, 100)), 0);

    private final Random random;
    private final int workerCount;
    private final long workerMilliCores;
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000_000);
    private final AdviceBroker broker = new AdviceBroker(1, _question -> {}, Metrics.create());
    private final GangReservations reservations = new GangReservations(_reservation -> {});
    private final RunTimes runTimes = new RunTimes();
    private final List<Job> waiting = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Asker> askers = new HashMap<>();
    private double questionLoss;
    private long nowMs = 1_000;
    private long lastPlacementMs = nowMs;
    private long longestWaitMs;

    /** A job of one step; {@code allowed} holds the numbers of the workers that the adviser allows. */
    private record Job(
            StepRecord step, QueueProto queue, Set<Integer> allowed, long runMs, long dueAtMs, List<Integer> tasks) {}

    private record Run(String worker, ResourceVector amount, long endMs) {}

    /** A process that asks the adviser, with the question that it has received. */
    private static final class Asker {
        private AdviceQuestionProto question;
        private long answerAtMs;
    }

    QuestionedFleet(Random random, int workerCount, long workerMilliCores, int askerCount) {
        this.random = random;
        this.workerCount = workerCount;
        this.workerMilliCores = workerMilliCores;
        for (int number = 0; number < askerCount; number++) {
            askers.put("entry" + number, new Asker());
        }
        askers.keySet().forEach(name -> poll(name, List.of()));
    }

    /** From now on so large a share of the questions gets no answer. */
    void setQuestionLoss(double share) {
        questionLoss = share;
    }

    /** Kills processes until so many are left. */
    void keepAskers(int count) {
        List<String> names = askers.keySet().stream().sorted().skip(count).toList();
        names.forEach(askers::remove);
    }

    long nowMs() {
        return nowMs;
    }

    int waitingJobs() {
        return waiting.size();
    }

    /** The longest time without a start while a job waited, since the last call. */
    long takeLongestWaitMs() {
        long longest = longestWaitMs;
        longestWaitMs = 0;
        lastPlacementMs = nowMs;
        return longest;
    }

    /**
     * Submits a job of one step.
     *
     * @param queue its queue
     * @param step the step
     * @param allowed the numbers of the workers that the adviser allows
     * @param runMs how long its tasks run
     */
    void submit(QueueProto queue, StepProto step, Set<Integer> allowed, long runMs) {
        String id = "j" + nowMs + "-" + waiting.size();
        machine.apply(GraphCommandProto.newBuilder()
                .setAtMs(nowMs)
                .setSubmit(GraphProto.newBuilder()
                        .setId(id)
                        .setQueue(queue.getName())
                        .addSteps(step))
                .build());
        StepRecord record = machine.job(id).orElseThrow().step(0, 0);
        List<Integer> tasks = new ArrayList<>(
                IntStream.range(0, record.tasks().size()).boxed().toList());
        waiting.add(new Job(record, queue, allowed, runMs, nowMs, tasks));
    }

    void advance() {
        nowMs += PLAN_INTERVAL_MS;
        runs.removeIf(run -> run.endMs() <= nowMs);
        answer();
        broker.tick(nowMs);
        plan();
        if (waiting.isEmpty()) {
            lastPlacementMs = nowMs;
        }
        longestWaitMs = Math.max(longestWaitMs, nowMs - lastPlacementMs);
    }

    private void plan() {
        List<StepDemand> demands = waiting.stream()
                .map(this::demand)
                .sorted(PlanOrder.urgency().comparing(_workspace -> 0))
                .toList();
        Plan plan = new Planner(
                        workers(),
                        BrokeredAdvice.of(broker, nowMs),
                        new WorkspaceQuotas(),
                        reservations,
                        runTimes,
                        nowMs)
                .plan(demands);
        broker.replaceQueue(
                plan.adviceRequests().stream()
                        .map(request -> request.toWish(nowMs))
                        .toList(),
                nowMs);
        plan.placements().forEach(this::start);
        waiting.removeIf(job -> job.tasks().isEmpty());
    }

    private StepDemand demand(Job job) {
        Urgency urgency = Urgency.of(job.step().job(), 0, job.queue(), job.dueAtMs(), nowMs);
        return new StepDemand(
                job.step(),
                job.queue(),
                List.copyOf(job.tasks()),
                urgency,
                job.dueAtMs(),
                COST,
                _index -> false,
                _index -> false,
                _index -> Set.of());
    }

    private void start(Placement placement) {
        Job job = waitingJob(placement.step().name()).orElseThrow();
        job.tasks().remove(Integer.valueOf(placement.index()));
        runs.add(new Run(placement.worker().getId(), placement.step().perTask(), nowMs + job.runMs()));
        lastPlacementMs = nowMs;
    }

    private Optional<Job> waitingJob(String step) {
        return waiting.stream().filter(job -> job.step().name().equals(step)).findFirst();
    }

    private List<CandidateWorker> workers() {
        Map<String, List<Run>> runsByWorker = runs.stream().collect(Collectors.groupingBy(Run::worker));
        List<CandidateWorker> workers = new ArrayList<>();
        for (int number = 0; number < workerCount; number++) {
            List<Run> running = runsByWorker.getOrDefault("w" + number, List.of());
            ResourceVector used = running.stream().map(Run::amount).reduce(ResourceVector.NONE, ResourceVector::plus);
            WorkerProto info = WorkerProto.newBuilder()
                    .setId("w" + number)
                    .setCapacity(ResourcesProto.newBuilder().setMilliCores(workerMilliCores))
                    .build();
            CandidateWorker worker = new CandidateWorker(info, new ResourceVector(workerMilliCores, 0, 0).minus(used));
            List<CapacityRelease> releases = running.stream()
                    .map(run -> new CapacityRelease(run.amount(), run.endMs()))
                    .sorted(Comparator.comparingLong(CapacityRelease::atMs))
                    .toList();
            worker.setRunningReleases(() -> releases);
            workers.add(worker);
        }
        return workers;
    }

    // --- the adviser

    private void answer() {
        for (String name : List.copyOf(askers.keySet())) {
            Asker asker = askers.get(name);
            if (asker.question != null && asker.answerAtMs <= nowMs) {
                AdviceQuestionProto question = asker.question;
                asker.question = null;
                poll(name, List.of(result(question)));
            } else if (asker.question == null) {
                poll(name, List.of());
            }
        }
    }

    private AdviceResultProto result(AdviceQuestionProto question) {
        AdviceResultProto.Builder result = AdviceResultProto.newBuilder().setNumber(question.getNumber());
        waitingJob(question.getStep())
                .filter(_job -> random.nextDouble() >= questionLoss)
                .ifPresent(job -> {
                    result.setAnswered(true).setValidMs(job.queue().getAdvice().getValidMs());
                    question.getWorkersList().stream()
                            .filter(worker -> job.allowed().contains(Integer.parseInt(worker.substring(1))))
                            .forEach(worker -> result.addAllowed(AdviceTicketProto.newBuilder()
                                    .setWorker(worker)
                                    .setTicket("t")));
                });
        return result.build();
    }

    private void poll(String name, List<AdviceResultProto> results) {
        broker.poll(name, results, questions -> questions.forEach(question -> receive(name, question)), nowMs);
    }

    private void receive(String name, AdviceQuestionProto question) {
        Asker asker = askers.get(name);
        boolean isLost = asker == null || random.nextDouble() < questionLoss;
        if (!isLost) {
            asker.question = question;
            asker.answerAtMs = nowMs + costMs(question);
        }
    }

    private long costMs(AdviceQuestionProto question) {
        return waitingJob(question.getStep())
                .map(job -> job.queue().getAdvice())
                .map(cost -> (long) (cost.getDecideMs() + question.getWorkersCount() * cost.getPerWorkerMs()))
                .orElse(0L);
    }
}
