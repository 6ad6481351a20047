package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.wire.proto.GraphStateProto;

/** Guards against a task that crashes one worker after the other, and against giving up others in its place. */
final class CrashingTaskTest {
    private static final int WORKERS = 12;
    private static final int SEEDS = 20;
    private static final int CRASHING_TASK = 1;
    private static final long SETTLE_MS = 60_000;

    private final List<String> soundJobs = new ArrayList<>();

    private static SimulatedCell cell(long seed) {
        return cell(seed, 0);
    }

    private static SimulatedCell cell(long seed, double faultRate) {
        SimulatedCell cell = new SimulatedCell(seed, WORKERS, faultRate);
        cell.time.advance(3_000);
        return cell;
    }

    /** Submits sound jobs for a while, two each step, and crashing ones where {@code crashesAt} says so. */
    private List<TaskKey> submitBoth(SimulatedCell cell, int steps, IntPredicate crashesAt) {
        List<TaskKey> crashing = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            soundJobs.add(cell.submit(SimulatedCell.tasks(3, 500, false)));
            soundJobs.add(cell.submit(SimulatedCell.tasks(2, 700, step % 4 == 0)));
            if (crashesAt.test(step)) {
                crashing.add(cell.makeCrashing(cell.submit(SimulatedCell.tasks(2, 600, false)), CRASHING_TASK));
            }
            cell.time.advance(200);
        }
        return crashing;
    }

    private void assertThatOnlyCrashingJobsFailed(String scenario, SimulatedCell cell, List<TaskKey> crashing) {
        assertWithMessage(scenario).that(cell.violations).isEmpty();
        for (TaskKey task : crashing) {
            assertWithMessage(scenario + ", " + task)
                    .that(cell.job(task.job()).state())
                    .isEqualTo(GraphStateProto.GRAPH_FAILED);
        }
        for (String job : soundJobs) {
            assertWithMessage(scenario + ", " + job)
                    .that(cell.job(job).state())
                    .isEqualTo(GraphStateProto.GRAPH_COMPLETED);
        }
    }

    @Nested
    final class StartBudget {
        @Test
        void shouldFailAJobWhoseTaskCrashesEachOfItsWorkers() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);

                List<TaskKey> crashing = submitBoth(cell, 20, step -> step % 10 == 5);
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, crashing);
                soundJobs.clear();
            }
        }

        @Test
        void shouldHoldWhenTheLeaderChangesAfterEachCrash() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);

                List<TaskKey> crashing = submitBoth(cell, 5, step -> step == 2);
                for (int election = 0; election < 10; election++) {
                    cell.elect();
                    cell.time.advance(2_500);
                }
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, crashing);
                soundJobs.clear();
            }
        }

        @Test
        void shouldHoldForAMemberOfAGang() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);

                submitBoth(cell, 5, _step -> false);
                TaskKey crashing = cell.makeCrashing(cell.submit(SimulatedCell.tasks(4, 1_500, true)), CRASHING_TASK);
                submitBoth(cell, 5, _step -> false);
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, List.of(crashing));
                soundJobs.clear();
            }
        }

        @Test
        void shouldHoldWhenATaskCrashesItsWorkersOnlyAfterAWhile() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);
                cell.setCrashDelay(2_000);

                List<TaskKey> crashing = submitBoth(cell, 10, step -> step == 5);
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, crashing);
                soundJobs.clear();
            }
        }

        @Test
        void shouldHoldWhenWorkersReturnOnlyAfterTheirLeaseHasExpired() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);
                cell.setRebootTime(7_000);

                List<TaskKey> crashing = submitBoth(cell, 10, step -> step == 5);
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, crashing);
                soundJobs.clear();
            }
        }

        @Test
        void shouldHoldWhileOrdersAreLostAndLate() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed, 0.1);

                List<TaskKey> crashing = submitBoth(cell, 10, step -> step == 5);
                cell.time.advance(2 * SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, crashing);
                soundJobs.clear();
            }
        }

        @Test
        void shouldHoldWhenOrdersToAFormerIncarnationAreAccepted() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);
                cell.acceptOrdersToFormerIncarnations();

                List<TaskKey> crashing = submitBoth(cell, 10, step -> step == 5);
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, crashing);
                soundJobs.clear();
            }
        }
    }

    @Nested
    final class SoundWork {
        @Test
        void shouldBeKeptWhenWorkersCrashTogetherBesideCrashingTasks() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);

                List<TaskKey> crashing = new ArrayList<>();
                for (int round = 0; round < 4; round++) {
                    crashing.addAll(submitBoth(cell, 10, step -> step % 5 == 2));
                    cell.crashTogether(3);
                }
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, crashing);
                soundJobs.clear();
            }
        }

        @Test
        void shouldBeKeptWhenItLosesItsWorkersManyTimesForOtherReasons() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cell(seed);

                for (int round = 0; round < 10; round++) {
                    submitBoth(cell, 3, _step -> false);
                    cell.crashTogether(WORKERS / 2);
                    cell.time.advance(300);
                }
                cell.time.advance(SETTLE_MS);

                assertThatOnlyCrashingJobsFailed("seed " + seed, cell, List.of());
                soundJobs.clear();
            }
        }
    }

    @Nested
    final class Damage {
        @Test
        void shouldLoseNoOtherJobsRunsAfterTheFirstCrash() {
            SimulatedCell cell = cell(1);
            List<TaskKey> crashing = submitBoth(cell, 8, step -> step == 2);

            cell.time.advance(SETTLE_MS);

            assertThat(cell.crashesOf(crashing.get(0))).isAtLeast(2);
            assertThat(cell.crashesWithRunsOfOtherJobs()).isAtMost(1);
        }
    }
}
