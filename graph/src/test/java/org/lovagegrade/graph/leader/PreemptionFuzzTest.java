package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.StepProto;

final class PreemptionFuzzTest {
    private static final int WORKERS = 4;
    private static final int SEEDS = 150;
    private static final StepProto LONG_TASKS = step(1, 4_000, 60_000, true);
    private static final StepProto URGENT_TASK = step(1, 4_000, 800, false);

    private static StepProto step(int count, long milliCores, long estimateMs, boolean checkpointing) {
        return SimulatedCell.tasks(count, milliCores, false).toBuilder()
                .setEstimateMs(estimateMs)
                .setCheckpointing(checkpointing)
                .build();
    }

    /** Returns a cell of one worker that has run a long task for some time. */
    private static SimulatedCell fullCell(StepProto longTask, long sinceMs) {
        SimulatedCell cell = SimulatedCell.withPreemption(7, 1, 0);
        cell.time.advance(2_000);
        cell.makeRunsLast();
        cell.submit(longTask);
        cell.time.advance(sinceMs);
        return cell;
    }

    @Nested
    final class UrgentTasks {
        @Test
        void shouldGetTheCapacityOfARunThatSavesACheckpoint() {
            SimulatedCell cell = fullCell(LONG_TASKS, 2_000);
            String urgent = cell.submitUrgent(URGENT_TASK);

            cell.time.advance(600);

            assertThat(cell.job(urgent).state()).isEqualTo(GraphStateProto.GRAPH_RUNNING);
            assertThat(cell.job("job0").step(0, 0).tasks().get(0).checkpoint()).isEqualTo("saved");
        }

        /**
         * Guards against runs that make no progress because they are stopped as soon as they have started, and against
         * stops that come too late to be of use: once the run has lasted, the urgent task can't be in time any more.
         */
        @Test
        void shouldNotGetTheCapacityOfARunThatHasJustStarted() {
            SimulatedCell cell = fullCell(LONG_TASKS, 300);
            cell.submitUrgent(URGENT_TASK);

            cell.time.advance(5_000);

            assertThat(cell.stoppedRuns(StopCause.PREEMPTED)).isEqualTo(0);
        }

        @Test
        void shouldNotStopATaskTwiceWithinItsObjective() {
            SimulatedCell cell = fullCell(LONG_TASKS, 2_000);
            for (int repeat = 0; repeat < 4; repeat++) {
                cell.submitUrgent(URGENT_TASK);
                cell.time.advance(5_000);
            }

            assertThat(cell.stoppedRuns(StopCause.PREEMPTED)).isEqualTo(1);
        }
    }

    @Nested
    final class Faults {
        /**
         * Guards against double runs and lost jobs when the leader dies between a stop and the start that needs its
         * capacity, workers crash or are cut off, and orders arrive late.
         */
        @Test
        void shouldViolateNoInvariantAndCompleteAllJobs() {
            int preempted = 0;
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = SimulatedCell.withPreemption(seed, WORKERS, 0.08);
                run(cell, new Random(seed), () -> {});
                preempted += cell.stoppedRuns(StopCause.PREEMPTED);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
                assertWithMessage("seed " + seed)
                        .that(cell.machine().activeJobs())
                        .isEmpty();
            }
            assertThat(preempted).isAtLeast(SEEDS / 2);
        }

        /** Guards against starts on a stopped run's capacity that its worker doesn't have any more. */
        @Test
        void shouldStartNothingBeyondTheCapacityOfWorkersThatShrink() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = SimulatedCell.withPreemption(seed, WORKERS, 0.2);
                run(cell, new Random(seed), cell::resizeOne);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }

        private void run(SimulatedCell cell, Random random, Runnable atEachStep) {
            for (int step = 0; step < 60; step++) {
                cell.submit(step(1 + random.nextInt(3), 1_000 + random.nextInt(1_000), 3_000, random.nextBoolean()));
                if (random.nextInt(4) == 0) {
                    cell.submitUrgent(step(1 + random.nextInt(2), 2_000, 1_500, false));
                }
                switch (random.nextInt(12)) {
                    case 0 -> cell.elect();
                    case 1 -> cell.crashOne();
                    case 2 -> cell.partitionOne(1_000 + random.nextInt(9_000));
                    default -> {}
                }
                atEachStep.run();
                cell.time.advance(500);
            }
            cell.time.advance(90_000);
        }
    }
}
