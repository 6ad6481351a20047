package org.lovagegrade.graph.planning;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.advice.Verdict;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.wire.proto.AdviceCostProto;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.WorkerProto;

final class PlannerTest {
    private static final String POOL = "pool";
    private static final CostOfDelay COST =
            CostOfDelay.of(WorkItem.of("j", "team", 0, Objective.within(1_000), RemainingWork.of(100, 100)), 0);

    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
    private final List<CandidateWorker> workers = new ArrayList<>();
    private final WorkspaceQuotas quotas = new WorkspaceQuotas();
    private final FakeAdvice advice = new FakeAdvice();
    private final GangReservations reservations = new GangReservations(_reservation -> {});
    private long nowMs = 1_000;
    private Set<String> avoidedWorkers = Set.of();
    private Set<Integer> suspects = Set.of();
    private Set<Integer> mayShareWorker = Set.of();

    /** Returns the verdicts that a test sets, and unknown for all others. */
    private static final class FakeAdvice implements AdviceLookup {
        private final Map<String, Verdict> verdicts = new HashMap<>();
        private final Set<String> pending = new HashSet<>();
        private long remainingMs = Long.MAX_VALUE;

        @Override
        public Verdict verdict(String step, String worker) {
            return verdicts.getOrDefault(step + "@" + worker, Verdict.UNKNOWN);
        }

        @Override
        public boolean isPending(String step) {
            return pending.contains(step);
        }

        @Override
        public long remainingMs(String step, String worker) {
            return verdict(step, worker) == Verdict.ALLOWED ? remainingMs : 0;
        }
    }

    private void addWorker(String id, long freeMilliCores, String rack, String label) {
        WorkerProto info = WorkerProto.newBuilder()
                .setId(id)
                .setPool(POOL)
                .setRack(rack)
                .addLabels(label)
                .setCapacity(ResourcesProto.newBuilder().setMilliCores(16_000).setMemoryMb(64_000))
                .build();
        workers.add(new CandidateWorker(info, new ResourceVector(freeMilliCores, 64_000, 0)));
    }

    private StepDemand demand(String job, int priority, boolean needsTicket, StepProto.Builder step) {
        QueueProto.Builder queue =
                QueueProto.newBuilder().setName("q" + priority).setPool(POOL).setPriority(priority);
        if (needsTicket) {
            queue.setAdvice(AdviceCostProto.newBuilder()
                    .setDecideMs(100)
                    .setPerWorkerMs(1)
                    .setValidMs(2_000));
        }
        machine.apply(GraphCommandProto.newBuilder()
                .setConfigure(FleetDocumentProto.newBuilder().setVersion(1).setSource(ByteString.copyFromUtf8("x")))
                .build());
        machine.apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId(job)
                        .setQueue("q" + priority)
                        .setWorkspace("team")
                        .addSteps(step))
                .build());
        StepRecord record = machine.job(job).orElseThrow().step(0, 0);
        List<Integer> waiting =
                IntStream.range(0, record.tasks().size()).boxed().toList();
        return new StepDemand(
                record,
                queue.build(),
                waiting,
                Urgency.IN_TIME,
                0,
                COST,
                suspects::contains,
                mayShareWorker::contains,
                _index -> avoidedWorkers);
    }

    private static StepProto.Builder step(int count, long milliCores) {
        return StepProto.newBuilder()
                .setCount(count)
                .setPerTask(
                        ResourcesProto.newBuilder().setMilliCores(milliCores).setMemoryMb(10));
    }

    private Plan plan(StepDemand... demands) {
        return new Planner(workers, advice, quotas, reservations, new RunTimes(), nowMs).plan(List.of(demands));
    }

    private static List<String> workersOf(Plan plan) {
        return plan.placements().stream()
                .map(placement -> placement.worker().getId())
                .toList();
    }

    @Nested
    final class SingleTasks {
        @Test
        void shouldPreferFullestWorkerThatFits() {
            addWorker("empty", 16_000, "r1", "a");
            addWorker("half", 8_000, "r1", "a");
            addWorker("full", 500, "r1", "a");

            assertThat(workersOf(plan(demand("j", 0, false, step(1, 1_000))))).containsExactly("half");
        }

        @Test
        void shouldStartAsManyTasksAsFit() {
            addWorker("w", 2_500, "r1", "a");

            assertThat(plan(demand("j", 0, false, step(5, 1_000))).placements()).hasSize(2);
        }

        @Test
        void shouldUseOnlyWorkersWithRequiredLabel() {
            addWorker("plain", 16_000, "r1", "a");
            addWorker("special", 16_000, "r1", "b");

            assertThat(workersOf(plan(demand("j", 0, false, step(1, 1_000).setRequiredLabel("b")))))
                    .containsExactly("special");
        }

        @Test
        void shouldNotExceedTasksPerWorkerOfStep() {
            addWorker("w1", 16_000, "r1", "a");
            addWorker("w2", 16_000, "r1", "a");

            Plan plan = plan(demand("j", 0, false, step(5, 1_000).setMostPerWorker(2)));

            assertThat(workersOf(plan)).containsExactly("w1", "w1", "w2", "w2");
        }

        @Test
        void shouldUseAvoidedWorkerOnlyIfNoOtherFits() {
            addWorker("failed", 1_000, "r1", "a");
            addWorker("other", 16_000, "r1", "a");
            avoidedWorkers = Set.of("failed");

            assertThat(workersOf(plan(demand("j", 0, false, step(1, 1_000))))).containsExactly("other");
            avoidedWorkers = Set.of("failed", "other");
            assertThat(workersOf(plan(demand("k", 0, false, step(1, 1_000))))).containsExactly("failed");
        }

        @Test
        void shouldPreferRackOfData() {
            addWorker("far", 2_000, "r1", "a");
            addWorker("near", 16_000, "r2", "a");

            assertThat(workersOf(plan(demand("j", 0, false, step(1, 1_000).setDataRack("r2")))))
                    .containsExactly("near");
        }
    }

    @Nested
    final class Quotas {
        @Test
        void shouldNotExceedLimitOfWorkspace() {
            addWorker("w", 16_000, "r1", "a");
            quotas.add("team", new ResourceVector(2_500, 0, 0), new ResourceVector(1_000, 0, 0));

            assertThat(plan(demand("j", 0, false, step(5, 1_000))).placements()).hasSize(1);
        }

        @Test
        void shouldNotStartGangThatExceedsLimitOfWorkspace() {
            addWorker("w", 16_000, "r1", "a");
            quotas.add("team", new ResourceVector(2_500, 0, 0), ResourceVector.NONE);

            assertThat(plan(demand("j", 0, false, step(3, 1_000).setGang(true))).placements())
                    .isEmpty();
        }
    }

    @Nested
    final class Gangs {
        @Test
        void shouldPlaceAllMembersOrNone() {
            addWorker("w1", 2_000, "r1", "a");
            addWorker("w2", 1_000, "r1", "a");

            assertThat(plan(demand("j", 1, false, step(4, 1_000).setGang(true))).placements())
                    .isEmpty();
            assertThat(plan(demand("k", 1, false, step(3, 1_000).setGang(true))).placements())
                    .hasSize(3);
        }

        @Test
        void shouldReserveWorkersForWaitingGangAgainstLowerPriority() {
            addWorker("w1", 4_000, "r1", "a");

            Plan plan = plan(
                    demand("gang", 1, false, step(3, 4_000).setGang(true)), demand("small", 2, false, step(4, 1_000)));

            assertThat(plan.placements()).isEmpty();
        }

        @Test
        void shouldPlaceRackLocalGangOnOneRack() {
            addWorker("a1", 4_000, "r1", "a");
            addWorker("b1", 3_000, "r2", "a");
            addWorker("b2", 3_000, "r2", "a");

            Plan plan = plan(demand("j", 1, false, step(6, 1_000).setGang(true).setRackLocal(true)));

            assertThat(workersOf(plan)).containsExactly("b1", "b1", "b1", "b2", "b2", "b2");
        }
    }

    @Nested
    final class HeldWorkers {
        private final List<GangReservation> made = new ArrayList<>();
        private final GangReservations recorded = new GangReservations(made::add);

        private Plan planAt(long atMs, StepDemand... demands) {
            return new Planner(workers, advice, quotas, recorded, new RunTimes(), atMs).plan(List.of(demands));
        }

        /** Adds a worker of 16 cores with a run on some of them that ends at a time. */
        private CandidateWorker busyWorker(String id, long busyMilliCores, long untilMs) {
            addWorker(id, 16_000 - busyMilliCores, "r1", "a");
            CandidateWorker worker = workers.get(workers.size() - 1);
            ResourceVector amount = new ResourceVector(busyMilliCores, 0, 0);
            worker.setRunningReleases(() -> List.of(new CapacityRelease(amount, untilMs)));
            return worker;
        }

        private StepDemand gang(String job, int count, long milliCores) {
            return demand(job, 1, false, step(count, milliCores).setGang(true).setEstimateMs(4_000));
        }

        private StepDemand tasks(String job, int priority, int count, long estimateMs) {
            return demand(job, priority, false, step(count, 1_000).setEstimateMs(estimateMs));
        }

        /** Load pattern: a busy fleet whose callers' estimates are wrong, so that short work isn't known to be short. */
        @Test
        void shouldBeClosedToWorkOfLowerPriorityHoweverShort() {
            busyWorker("w1", 12_000, 4_000);

            Plan plan = planAt(1_000, gang("gang", 4, 4_000), tasks("long", 2, 2, 3_500), tasks("short", 2, 2, 500));

            assertThat(plan.placements()).isEmpty();
            assertThat(made.get(0).startMs()).isEqualTo(4_000);
        }

        @Test
        void shouldStayOpenToSmallerGangOfTheSamePriority() {
            busyWorker("w1", 12_000, 4_000);

            Plan plan = planAt(1_000, gang("large", 4, 4_000), gang("small", 2, 2_000));

            assertThat(plan.placements().stream()
                            .map(placement -> placement.step().name()))
                    .containsExactly("small.0.0", "small.0.0");
        }

        @Test
        void shouldStayOpenToWorkOfHigherPriority() {
            busyWorker("w1", 12_000, 4_000);

            Plan plan = planAt(1_000, gang("gang", 4, 4_000), tasks("urgent", 0, 4, 60_000));

            assertThat(plan.placements()).hasSize(4);
        }

        /** Guards against two gangs that each wait for the workers of the other. */
        @Test
        void shouldNotBeSharedByTwoGangs() {
            busyWorker("w1", 12_000, 4_000);
            busyWorker("w2", 12_000, 5_000);

            planAt(1_000, gang("first", 2, 16_000), gang("second", 2, 16_000));

            assertThat(made).hasSize(1);
            assertThat(made.get(0).membersByWorker()).containsExactly("w1", 1, "w2", 1);
            assertThat(made.get(0).startMs()).isEqualTo(5_000);
        }

        /** Guards against workers that stay empty for a gang whose prediction was wrong. */
        @Test
        void shouldBeReleasedAfterTwiceThePredictedWaitAndForAsLong() {
            busyWorker("w1", 12_000, 3_000);
            StepDemand gang = gang("gang", 4, 4_000);
            int placed = 0;
            for (long atMs : new long[] {1_000, 4_900, 5_000, 8_900, 9_100}) {
                workers.clear();
                busyWorker("w1", 12_000, Math.max(3_000, atMs + 500));
                placed = placed * 10
                        + planAt(atMs, gang, tasks("small" + atMs, 2, 1, 60_000))
                                .placements()
                                .size();
            }

            assertThat(placed).isEqualTo(110);
        }

        @Test
        void shouldBeChosenAnewWhenOneIsLost() {
            busyWorker("w1", 12_000, 4_000);
            busyWorker("w2", 12_000, 5_000);
            StepDemand gang = gang("gang", 4, 4_000);
            planAt(1_000, gang);
            workers.remove(0);

            planAt(1_200, gang);

            assertThat(made.stream().map(GangReservation::membersByWorker))
                    .containsExactly(Map.of("w1", 4), Map.of("w2", 4))
                    .inOrder();
        }

        @Test
        void shouldBeFewAndReliable() {
            busyWorker("a", 8_000, 4_000);
            busyWorker("b", 1_000, 4_000).markUnreliable();
            busyWorker("c", 2_000, 4_000);
            busyWorker("d", 10_000, 4_000);

            Plan plan = planAt(1_000, gang("gang", 6, 2_000));

            assertThat(Set.copyOf(workersOf(plan))).containsExactly("c");
        }

        /** Guards against a hold without an end behind runs that never end. */
        @Test
        void shouldNotBeHeldBehindLastingRuns() {
            busyWorker("w1", 12_000, CapacityRelease.NEVER);

            planAt(1_000, gang("gang", 4, 4_000));

            assertThat(made).isEmpty();
        }
    }

    @Nested
    final class SuspectTasks {
        private void addRunTo(String id, String job) {
            StepRecord step = demand(job, 0, false, step(1, 100)).step();
            workers.stream().filter(worker -> worker.id().equals(id)).forEach(worker -> worker.addRun(step));
        }

        private void addWorkers(int count) {
            for (int number = 0; number < count; number++) {
                addWorker("w" + number, 16_000, "r1", "a");
            }
        }

        private StepDemand suspectDemand(String job, StepProto.Builder step) {
            suspects = Set.of(0);
            StepDemand demand = demand(job, 1, false, step);
            suspects = Set.of();
            return demand;
        }

        private StepDemand allSuspectDemand(String job, StepProto.Builder step) {
            suspects = IntStream.range(0, step.getCount()).boxed().collect(Collectors.toSet());
            StepDemand demand = demand(job, 1, false, step);
            suspects = Set.of();
            return demand;
        }

        @Test
        void shouldRunOnAnEmptyWorker() {
            addWorkers(2);
            addRunTo("w0", "other");

            assertThat(workersOf(plan(suspectDemand("j", step(1, 1_000))))).containsExactly("w1");
        }

        @Test
        void shouldNotBeJoinedByOtherJobs() {
            addWorkers(2);
            addRunTo("w0", "other");

            Plan plan = plan(suspectDemand("j", step(1, 1_000)), demand("sound", 2, false, step(2, 1_000)));

            assertThat(workersOf(plan)).containsExactly("w1", "w0", "w0").inOrder();
        }

        @Test
        void shouldShareOneWorkerWithSuspectTasksOfTheSameJob() {
            addWorkers(8);

            Plan plan = plan(allSuspectDemand("j", step(20, 1_000)));

            assertThat(workersOf(plan)).hasSize(16);
            assertThat(Set.copyOf(workersOf(plan))).hasSize(1);
        }

        @Test
        void shouldTakeNoMoreThanAThirdOfTheWorkers() {
            addWorkers(6);

            Plan plan = plan(
                    suspectDemand("a", step(1, 1_000)),
                    suspectDemand("b", step(1, 1_000)),
                    suspectDemand("c", step(1, 1_000)));

            assertThat(plan.placements()).hasSize(2);
        }

        @Test
        void shouldHaveAWorkerKeptFreeWhenNoneIsEmpty() {
            addWorkers(2);
            addRunTo("w0", "other");
            addRunTo("w0", "other");
            addRunTo("w1", "other");

            Plan plan = plan(suspectDemand("j", step(1, 1_000)), demand("sound", 2, false, step(2, 1_000)));

            assertThat(workersOf(plan)).containsExactly("w0", "w0");
        }

        private StepDemand longWaitingDemand(String job, boolean advice, StepProto.Builder step) {
            suspects = Set.of(0);
            mayShareWorker = Set.of(0);
            StepDemand demand = demand(job, 1, advice, step);
            suspects = Set.of();
            mayShareWorker = Set.of();
            return demand;
        }

        /** Guards against jobs that never start where a lasting task is at work on each worker (LOST). */
        @Test
        void shouldRunBesideALastingTaskAtOnceWhereNoWorkerIsEmpty() {
            addWorkers(2);
            addRunTo("w0", "other");
            StepRecord lasting =
                    demand("lasting", 0, false, step(1, 100).setLasting(true)).step();
            workers.forEach(worker -> worker.addRun(lasting));

            assertThat(workersOf(plan(suspectDemand("j", step(1, 1_000))))).containsExactly("w1");
        }

        /** Guards against jobs that never start where long runs are at work on each worker. */
        @Test
        void shouldRunOnTheWorkerWithTheFewestRunsAfterALongWait() {
            addWorkers(2);
            addRunTo("w0", "other");
            addRunTo("w0", "other");
            addRunTo("w1", "other");

            Plan plan = plan(longWaitingDemand("j", false, step(1, 1_000)), demand("sound", 2, false, step(2, 1_000)));

            assertThat(workersOf(plan)).containsExactly("w1", "w0", "w0").inOrder();
        }

        @Test
        void shouldStillPreferAnEmptyWorkerAfterALongWait() {
            addWorkers(2);
            addRunTo("w0", "other");

            assertThat(workersOf(plan(longWaitingDemand("j", false, step(1, 1_000)))))
                    .containsExactly("w1");
        }

        @Test
        void shouldTakeNoMoreThanAThirdOfTheWorkersAfterALongWait() {
            addWorkers(6);
            for (int number = 0; number < 6; number++) {
                addRunTo("w" + number, "other");
            }

            Plan plan = plan(
                    longWaitingDemand("a", false, step(1, 1_000)),
                    longWaitingDemand("b", false, step(1, 1_000)),
                    longWaitingDemand("c", false, step(1, 1_000)));

            assertThat(plan.placements()).hasSize(2);
        }

        /** Guards against gangs that never start where a lasting task is at work on each worker (LOST). */
        @Test
        void shouldHaveTheirGangRunOnWorkersInUseAfterALongWait() {
            addWorkers(3);
            for (int number = 0; number < 3; number++) {
                addRunTo("w" + number, "other");
            }

            Plan plan = plan(longWaitingDemand("gang", false, step(2, 8_000).setGang(true)));

            assertThat(workersOf(plan)).hasSize(2);
        }

        /** Guards against waiting for a ticket for an empty worker where none ever is. */
        @Test
        void shouldAskTheAdviserAboutWorkersInUseAfterALongWait() {
            addWorkers(2);
            addRunTo("w0", "other");
            addRunTo("w1", "other");

            Plan plan = plan(longWaitingDemand("j", true, step(1, 1_000)));

            assertThat(plan.adviceRequests()).hasSize(1);
        }

        @Test
        void shouldAskTheAdviserAboutEmptyWorkersOnly() {
            addWorkers(3);
            addRunTo("w0", "other");
            suspects = Set.of(0);

            Plan plan = plan(demand("j", 1, true, step(1, 1_000)));

            assertThat(plan.adviceRequests()).hasSize(1);
            assertThat(plan.adviceRequests().get(0).workers()).containsExactly("w1", "w2");
        }

        @Test
        void shouldNotAskTheAdviserWhileTheirShareOfTheWorkersIsTaken() {
            addWorkers(3);
            StepDemand first = suspectDemand("first", step(1, 1_000));
            suspects = Set.of(0);

            Plan plan = plan(first, demand("second", 1, true, step(1, 1_000)));

            assertThat(plan.adviceRequests()).isEmpty();
        }

        @Test
        void shouldNotHoldBackTheSoundTasksOfTheirStep() {
            addWorkers(1);
            addRunTo("w0", "other");

            assertThat(plan(suspectDemand("j", step(3, 1_000))).placements()).hasSize(2);
        }

        @Test
        void shouldHaveTheirGangRunOnWorkersOfItsOwn() {
            addWorkers(8);
            addRunTo("w0", "other");

            Plan plan = plan(
                    suspectDemand("gang", step(2, 16_000).setGang(true)), demand("sound", 2, false, step(1, 1_000)));

            assertThat(workersOf(plan)).hasSize(3);
            assertThat(Set.copyOf(workersOf(plan))).hasSize(3);
            assertThat(workersOf(plan).subList(0, 2)).doesNotContain("w0");
        }
    }

    @Nested
    final class AdviceRequests {
        @Test
        void shouldNameWorkersWithoutVerdict() {
            addWorker("w1", 16_000, "r1", "a");

            Plan plan = plan(demand("j", 0, true, step(1, 1_000)));

            assertThat(plan.placements()).isEmpty();
            assertThat(plan.adviceRequests()).hasSize(1);
            assertThat(plan.adviceRequests().get(0).workers()).containsExactly("w1");
        }

        @Test
        void shouldNameOnlyWorkersWithStaleTickets() {
            addWorker("stale", 16_000, "r1", "a");
            addWorker("denied", 16_000, "r1", "a");
            advice.verdicts.put("j.0.0@stale", Verdict.STALE);
            advice.verdicts.put("j.0.0@denied", Verdict.DENIED);

            Plan plan = plan(demand("j", 0, true, step(1, 1_000)));

            assertThat(plan.adviceRequests().get(0).workers()).containsExactly("stale");
        }

        @Test
        void shouldBeOmittedWhileQuestionIsPending() {
            addWorker("w1", 16_000, "r1", "a");
            advice.pending.add("j.0.0");

            assertThat(plan(demand("j", 0, true, step(1, 1_000))).adviceRequests())
                    .isEmpty();
        }

        /** Guards against adviser time spent on workers that have no capacity for the step. */
        @Test
        void shouldNotNameFullWorkers() {
            addWorker("full", 500, "r1", "a");
            assertThat(plan(demand("j", 0, true, step(1, 1_000))).adviceRequests())
                    .isEmpty();

            addWorker("free", 1_000, "r1", "a");
            assertThat(plan(demand("k", 0, true, step(1, 1_000)))
                            .adviceRequests()
                            .get(0)
                            .workers())
                    .containsExactly("free");
        }

        /** Guards against a question for each task that ends: a full fleet frees capacity while a ticket is valid. */
        @Test
        void shouldNameFullWorkersThatWillHaveRoomSoonToFirstStepsOnly() {
            for (int index = 0; index < 10; index++) {
                addWorker("w" + index, 0, "r1", "a");
            }
            StepProto.Builder step = step(10, 4_000).setEstimateMs(4_000);

            Plan plan = plan(IntStream.range(0, 6)
                    .mapToObj(job -> demand("j" + job, 0, true, step))
                    .toArray(StepDemand[]::new));

            // Each worker frees room for one task, of which the first step takes half, the second a quarter, and so on.
            assertThat(plan.adviceRequests().get(0).workers()).hasSize(10);
            assertThat(plan.adviceRequests().stream().map(AdviceRequest::step))
                    .containsExactly("j0.0.0", "j1.0.0", "j2.0.0")
                    .inOrder();
        }

        /** Guards against question after question until all workers are known, while tickets wait for room. */
        @Test
        void shouldNotAskWhileLastingTicketsWillSuffice() {
            for (int index = 0; index < 10; index++) {
                addWorker("w" + index, 0, "r1", "a");
                advice.verdicts.put("j.0.0@w" + index, index < 4 ? Verdict.ALLOWED : Verdict.UNKNOWN);
            }
            StepProto.Builder step = step(4, 4_000).setEstimateMs(4_000);

            assertThat(plan(demand("j", 0, true, step)).adviceRequests()).isEmpty();
        }

        /** Guards against steps that keep others from asking, since their own tickets suffice. */
        @Test
        void shouldAskForStepBehindManyThatHaveTickets() {
            StepProto.Builder step = step(1, 4_000).setEstimateMs(4_000);
            StepDemand[] demands = IntStream.range(0, 31)
                    .mapToObj(job -> demand("j" + job, 0, true, step))
                    .toArray(StepDemand[]::new);
            for (int index = 0; index < 60; index++) {
                addWorker("w" + index, 0, "r1", "a");
                advice.verdicts.put("j" + index + ".0.0@w" + index, Verdict.ALLOWED);
            }
            advice.verdicts.remove("j30.0.0@w30");

            Plan plan = plan(demands);

            assertThat(plan.adviceRequests().stream().map(AdviceRequest::step)).containsExactly("j30.0.0");
        }

        /** Guards against questions about more steps than the free capacity can take. */
        @Test
        void shouldNotCountOnCapacityThatEarlierQuestionWillUse() {
            addWorker("w1", 1_000, "r1", "a");
            advice.pending.add("first.0.0");

            Plan plan = plan(demand("second", 1, true, step(4, 1_000)), demand("third", 1, true, step(1, 1_000)));

            assertThat(plan.adviceRequests().stream().map(AdviceRequest::step)).containsExactly("second.0.0");
        }

        /** Guards against asking again and again about a gang that can't start whatever the answer is. */
        @Test
        void shouldNotAskForGangThatFitsOnNoWorkersOnceVerdictsAreKnown() {
            addWorker("allowed", 1_000, "r1", "a");
            addWorker("unknown", 1_000, "r1", "a");
            advice.verdicts.put("g.0.0@allowed", Verdict.STALE);

            assertThat(plan(demand("g", 0, true, step(4, 1_000).setGang(true))).adviceRequests())
                    .isEmpty();
        }

        /** Guards against a gang that never holds all tickets at once, since some expire while others are requested. */
        @Test
        void shouldRenewTicketsOfGangThatExpireBeforeAnswer() {
            addWorker("stale", 1_000, "r1", "a");
            addWorker("expiring", 1_000, "r1", "a");
            addWorker("unneeded", 500, "r1", "a");
            advice.verdicts.put("g.0.0@stale", Verdict.STALE);
            advice.verdicts.put("g.0.0@expiring", Verdict.ALLOWED);
            advice.remainingMs = 50;

            Plan plan = plan(demand("g", 0, true, step(2, 1_000).setGang(true)));

            assertThat(plan.adviceRequests().get(0).workers()).containsExactly("stale", "expiring");
        }

        /** Guards against idle capacity: questions about useless work may wait for long. */
        @Test
        void shouldNotHoldCapacityOfUselessWork() {
            addWorker("w1", 1_000, "r1", "a");
            advice.verdicts.put("first.0.0@w1", Verdict.STALE);
            StepDemand first = demand("first", 0, true, step(1, 1_000));
            StepDemand useless = new StepDemand(
                    first.step(),
                    first.queue(),
                    first.waiting(),
                    Urgency.OVERDUE,
                    0,
                    first.cost(),
                    first.isSuspect(),
                    first.mayShareWorker(),
                    first.avoidedWorkers());

            Plan plan = plan(useless, demand("second", 2, false, step(1, 1_000)));

            assertThat(workersOf(plan)).containsExactly("w1");
        }

        @Test
        void shouldHoldCapacityOfStepThatWaitsOnlyForTicket() {
            addWorker("w1", 1_000, "r1", "a");
            advice.verdicts.put("first.0.0@w1", Verdict.STALE);

            Plan plan = plan(demand("first", 0, true, step(1, 1_000)), demand("second", 2, false, step(1, 1_000)));

            assertThat(plan.placements()).isEmpty();
        }
    }
}
