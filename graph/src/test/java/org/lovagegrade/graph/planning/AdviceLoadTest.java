package org.lovagegrade.graph.planning;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.advice.AdviceBroker;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.wire.proto.AdviceCostProto;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;
import org.lovagegrade.wire.proto.AdviceTicketProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Plays questions and answers about gangs against a fleet that is partly busy, with one process that asks. */
final class AdviceLoadTest {
    private static final int WORKERS = 245;
    private static final long SEED = 20;
    private static final double ALLOWED_SHARE = 0.3;
    private static final QueueProto GANGS = QueueProto.newBuilder()
            .setName("gangs")
            .setPriority(1)
            .setAdvice(AdviceCostProto.newBuilder()
                    .setDecideMs(559)
                    .setPerWorkerMs(8.06)
                    .setValidMs(2_000))
            .build();

    private static final CostOfDelay COST = CostOfDelay.of(
            WorkItem.of("j", "team", 1, Objective.within(12_000), RemainingWork.of(5_000, 1_800_000)), 0);

    private final Random random = new Random(SEED);
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
    private final AdviceBroker broker = new AdviceBroker(1, _question -> {}, Metrics.create());
    private final List<AdviceQuestionProto> asked = new ArrayList<>();
    private long nowMs;
    private int questions;

    private static List<CandidateWorker> fleet(long[] freeMilliCores) {
        return IntStream.range(0, WORKERS)
                .mapToObj(index -> new CandidateWorker(
                        WorkerProto.newBuilder()
                                .setId("w" + index)
                                .setCapacity(ResourcesProto.newBuilder().setMilliCores(64_000))
                                .build(),
                        new ResourceVector(freeMilliCores[index], 0, 0)))
                .toList();
    }

    private StepDemand gang(String job) {
        machine.apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId(job)
                        .setQueue("gangs")
                        .addSteps(StepProto.newBuilder()
                                .setCount(20)
                                .setGang(true)
                                .setEstimateMs(5_000)
                                .setPerTask(ResourcesProto.newBuilder().setMilliCores(18_000))))
                .build());
        StepRecord step = machine.job(job).orElseThrow().step(0, 0);
        return new StepDemand(
                step,
                GANGS,
                IntStream.range(0, 20).boxed().toList(),
                Urgency.IN_TIME,
                0,
                COST,
                _index -> false,
                _index -> false,
                _index -> Set.of());
    }

    /** Asks until the gang is placed, at most for the given number of questions; returns whether it was. */
    private boolean place(StepDemand gang, long[] freeMilliCores, int maxQuestions) {
        Set<Integer> allowed = Set.copyOf(IntStream.range(0, WORKERS)
                .filter(_index -> random.nextDouble() < ALLOWED_SHARE)
                .boxed()
                .toList());
        for (int question = 0; question <= maxQuestions; question++) {
            Plan plan = new Planner(
                            fleet(freeMilliCores),
                            BrokeredAdvice.of(broker, nowMs),
                            new WorkspaceQuotas(),
                            new GangReservations(_reservation -> {}),
                            new RunTimes(),
                            nowMs)
                    .plan(List.of(gang));
            if (!plan.placements().isEmpty()) {
                return true;
            }
            List<AdviceRequest> requests = plan.adviceRequests();
            if (requests.isEmpty()) {
                return false;
            }
            broker.replaceQueue(List.of(requests.get(0).toWish(nowMs)), nowMs);
            questions++;
            nowMs += (long) requests.get(0).costMs();
            answer(allowed);
        }
        return false;
    }

    private void answer(Set<Integer> allowed) {
        AdviceQuestionProto question = asked.remove(asked.size() - 1);
        AdviceResultProto.Builder result = AdviceResultProto.newBuilder()
                .setNumber(question.getNumber())
                .setAnswered(true)
                .setValidMs(2_000);
        question.getWorkersList().stream()
                .filter(worker -> allowed.contains(Integer.parseInt(worker.substring(1))))
                .forEach(worker -> result.addAllowed(
                        AdviceTicketProto.newBuilder().setWorker(worker).setTicket("t")));
        broker.poll("entry", List.of(result.build()), asked::addAll, nowMs);
    }

    @Nested
    final class Gangs {
        /** Guards against the two or three questions of 0.8 s that each gang took. */
        @Test
        void shouldSeldomNeedSecondQuestionOnHalfFreeFleet() {
            broker.poll("entry", List.of(), asked::addAll, 0);
            int placed = 0;
            for (int index = 0; index < 40; index++) {
                long[] free = random.doubles(WORKERS)
                        .mapToLong(share -> share < 0.5 ? 64_000 : 10_000)
                        .toArray();
                placed += place(gang("g" + index), free, 5) ? 1 : 0;
            }

            assertThat(placed).isEqualTo(40);
            assertThat(questions).isAtMost(40 * 13 / 10);
        }

        /** Guards against asking on and on while the fleet is full: the verdicts are learned once. */
        @Test
        void shouldAskLittleWhileNothingFits() {
            broker.poll("entry", List.of(), asked::addAll, 0);
            long[] free = new long[WORKERS];
            StepDemand gang = gang("g");
            for (int plan = 0; plan < 100; plan++) {
                assertThat(place(gang, free, 1)).isFalse();
            }

            assertThat(questions).isAtMost(2);
        }
    }
}
