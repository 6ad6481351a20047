package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.StepProto;

final class WorkerDriverFuzzTest {
    private static final int WORKERS = 4;
    private static final int SEEDS = 150;
    private static final long STEP_MS = 500;
    private static final int STEPS = 60;
    private static final long SETTLE_MS = 60_000;

    /**
     * Simulates a scenario with disruptions drawn from a seed, then a time without elections, crashes, partitions and
     * cancellations, in which all jobs must complete. Orders are lost or delayed at the fault rate throughout.
     */
    private static SimulatedCell simulate(long seed, double faultRate) {
        return simulate(new SimulatedCell(seed, WORKERS, faultRate), seed);
    }

    private static SimulatedCell simulate(SimulatedCell cell, long seed) {
        return simulate(cell, seed, () -> {});
    }

    private static SimulatedCell simulate(SimulatedCell cell, long seed, Runnable atEachStep) {
        Random random = new Random(seed);
        List<String> jobs = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            int width = 1 + random.nextInt(4);
            boolean gang = random.nextInt(3) == 0;
            jobs.add(cell.submit(
                    SimulatedCell.tasks(width, 500 + random.nextInt(1_000), gang),
                    SimulatedCell.tasks(1 + random.nextInt(3), 700, false, 0)));
            switch (random.nextInt(12)) {
                case 0 -> cell.elect();
                case 1 -> cell.crashOne();
                case 2 -> cell.partitionOne(1_000 + random.nextInt(9_000));
                case 3 -> cell.cancel(jobs.get(random.nextInt(jobs.size())));
                default -> {}
            }
            atEachStep.run();
            cell.time.advance(STEP_MS);
        }
        cell.time.advance(SETTLE_MS);
        return cell;
    }

    @Nested
    final class Faults {
        @Test
        void shouldViolateNoInvariantUnderFaults() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = simulate(seed, 0.08);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }

        @Test
        void shouldViolateNoInvariantWhenWorkersAcceptStartsWithAnExpiredLease() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = new SimulatedCell(seed, WORKERS, 0.2);
                cell.acceptExpiredStarts();
                simulate(cell, seed);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }

        /** Guards against conclusions from a listing that holds only some of the ends. */
        @Test
        void shouldViolateNoInvariantWhenWorkersListFewEndsAtATime() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = new SimulatedCell(seed, WORKERS, 0.08);
                cell.listEndsInPagesOf(2);
                simulate(cell, seed);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }

        @Test
        void shouldStartNothingBeyondTheCapacityOfWorkersThatShrink() {
            long[] seeds = LongStream.concat(LongStream.range(0, SEEDS), LongStream.of(305, 416))
                    .toArray();
            for (long seed : seeds) {
                SimulatedCell cell = new SimulatedCell(seed, WORKERS, 0.2);
                simulate(cell, seed, cell::resizeOne);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }

        /** Guards against runs that are stopped for a leaving worker and started twice, or not again. */
        @Test
        void shouldViolateNoInvariantWhenWorkersLeaveWithNotice() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = new SimulatedCell(seed, WORKERS, 0.08);
                Random random = new Random(seed);
                simulate(cell, seed, () -> {
                    if (random.nextInt(5) == 0) {
                        cell.drainOne(1_500);
                    }
                });

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }

        @Test
        void shouldCompleteAllJobsOnceDisruptionsEnd() {
            for (long seed = 0; seed < 20; seed++) {
                SimulatedCell cell = simulate(seed, 0.02);

                assertWithMessage("seed " + seed)
                        .that(cell.machine().activeJobs())
                        .isEmpty();
            }
        }
    }

    @Nested
    final class DisabledSafeguards {
        private boolean isDetectedWithin(int seeds, DriverSafeguards safeguards) {
            for (long seed = 0; seed < seeds; seed++) {
                SimulatedCell cell = new SimulatedCell(seed, WORKERS, 0.2, safeguards);
                cell.acceptExpiredStarts();
                cell.expectNoLateOrders();
                simulate(cell, seed);
                if (!cell.violations.isEmpty()) {
                    return true;
                }
            }
            return false;
        }

        /** Shows that what the others detect is not the leader's expectation that no order comes late. */
        @Test
        void shouldViolateNothingWithAllSafeguards() {
            assertThat(isDetectedWithin(SEEDS, DriverSafeguards.allEnabled())).isFalse();
        }

        @Test
        void shouldBeDetectedWhenLeaseExpiryIsNotAwaited() {
            assertThat(isDetectedWithin(SEEDS, new DriverSafeguards(false, true, true, true)))
                    .isTrue();
        }

        @Test
        void shouldBeDetectedWhenTheFencingTokenIsNotRaised() {
            assertThat(isDetectedWithin(SEEDS, new DriverSafeguards(true, false, true, true)))
                    .isTrue();
        }
    }

    @Nested
    final class LostWorkers {
        private SimulatedCell cellWithOneWorker() {
            SimulatedCell cell = new SimulatedCell(3, 1, 0);
            cell.makeRunsLast();
            cell.time.advance(2_000);
            cell.submit(SimulatedCell.tasks(4, 1_000, false));
            return cell;
        }

        /** Guards against a wait for late orders where the lost worker is known to have begun the runs. */
        @Test
        void shouldBeGivenUpWhenTheirLeaseHasExpired() {
            SimulatedCell cell = cellWithOneWorker();
            cell.time.advance(100);
            cell.partitionOne(20_000);
            cell.time.advance(5_200);

            assertThat(cell.machine().runs()).isEmpty();
        }

        /** Guards against runs that stay taken for good, and against ones that a late order may still begin elsewhere (TWICE). */
        @Test
        void shouldBeGivenUpWhenNoOrderCanBeginThemAnyMoreWhileOrdersAreRetried() {
            SimulatedCell cell = cellWithOneWorker();
            cell.partitionOne(40_000);
            cell.time.advance(SimulatedCell.MAX_ORDER_DELAY_MS + SimulatedCell.MAX_LEASE_MS);

            assertThat(cell.machine().runs()).hasSize(4);
            cell.time.advance(2_000);

            assertThat(cell.machine().runs()).isEmpty();
        }
    }

    @Nested
    final class LeavingWorkers {
        private static final StepProto LONG_TASKS = SimulatedCell.tasks(4, 1_000, false).toBuilder()
                .setCheckpointing(true)
                .setEstimateMs(60_000)
                .build();

        private SimulatedCell cellWithLeavingWorker(StepProto step) {
            SimulatedCell cell = new SimulatedCell(5, 1, 0);
            cell.time.advance(2_000);
            cell.makeRunsLast();
            cell.submit(step);
            cell.time.advance(100);
            cell.drainOne(1_000);
            cell.time.advance(900);
            return cell;
        }

        private long savedTasks(SimulatedCell cell) {
            return cell.job("job0").step(0, 0).tasks().stream()
                    .filter(task -> task.checkpoint().equals("saved"))
                    .count();
        }

        /** Guards against progress that is lost with the worker although it could have been saved. */
        @Test
        void shouldSaveCheckpointsBeforeTheyLeave() {
            SimulatedCell cell = cellWithLeavingWorker(LONG_TASKS);

            assertThat(savedTasks(cell)).isAtLeast(1);
            assertThat(cell.machine().runs()).isEmpty();
        }

        @Test
        void shouldKeepRunsThatEndBeforeTheyLeave() {
            SimulatedCell cell = cellWithLeavingWorker(
                    LONG_TASKS.toBuilder().setEstimateMs(500).build());

            assertThat(savedTasks(cell)).isEqualTo(0);
        }
    }

    @Nested
    final class GangsOfEarlierLeaders {
        /** Guards against members that go on without the lost one, because the former leader died before it stopped them. */
        @Test
        void shouldBeStoppedIfTheyHaveLostAMember() {
            SimulatedCell cell = new SimulatedCell(1, WORKERS, 0);
            cell.time.advance(2_000);
            cell.makeRunsLast();
            String job = cell.submit(SimulatedCell.tasks(WORKERS, 4_000, true));
            cell.time.advance(100);
            cell.loseRunAsTheLeaderDies(job);

            cell.time.advance(1_500);

            assertThat(cell.stopsSentFor(job)).isAtLeast(WORKERS - 1);
        }
    }

    @Nested
    final class WithoutFaults {
        @Test
        void shouldRunStepsInOrderAndCompleteTheJob() {
            SimulatedCell cell = new SimulatedCell(1, WORKERS, 0);
            String job = cell.submit(SimulatedCell.tasks(6, 1_000, true), SimulatedCell.tasks(3, 4_000, false, 0));

            cell.time.advance(60_000);

            assertThat(cell.job(job).state()).isEqualTo(GraphStateProto.GRAPH_COMPLETED);
            assertThat(cell.violations).isEmpty();
        }

        @Test
        void shouldStopWhatRunsWhenTheJobIsCancelled() {
            SimulatedCell cell = new SimulatedCell(2, WORKERS, 0);
            cell.time.advance(2_000);
            String job = cell.submit(SimulatedCell.tasks(16, 1_000, false));
            cell.time.advance(100);
            int running = cell.machine().runs().size();

            cell.cancel(job);
            cell.time.advance(1_000);

            assertThat(running).isAtLeast(8);

            assertThat(cell.job(job).state()).isEqualTo(GraphStateProto.GRAPH_CANCELLED);
            assertThat(cell.machine().runs()).isEmpty();
        }
    }
}
