package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
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

    private void assertThatOnlyCrashingJobsFail(Function<SimulatedCell, List<TaskKey>> scenario) {
        assertThatOnlyCrashingJobsFail(0, scenario);
    }

    /** Plays a scenario with each seed; it returns the crashing tasks, whose jobs alone have to fail. */
    private void assertThatOnlyCrashingJobsFail(double faultRate, Function<SimulatedCell, List<TaskKey>> scenario) {
        for (long seed = 0; seed < SEEDS; seed++) {
            soundJobs.clear();
            SimulatedCell cell = cell(seed, faultRate);
            List<TaskKey> crashing = scenario.apply(cell);
            cell.time.advance(SETTLE_MS);

            assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            for (TaskKey task : crashing) {
                assertWithMessage("seed " + seed + ", " + task)
                        .that(cell.job(task.job()).state())
                        .isEqualTo(GraphStateProto.GRAPH_FAILED);
            }
            for (String job : soundJobs) {
                assertWithMessage("seed " + seed + ", " + job)
                        .that(cell.job(job).state())
                        .isEqualTo(GraphStateProto.GRAPH_COMPLETED);
            }
        }
    }

    @Nested
    final class StartBudget {
        @Test
        void shouldFailAJobWhoseTaskCrashesEachOfItsWorkers() {
            assertThatOnlyCrashingJobsFail(cell -> submitBoth(cell, 20, step -> step % 10 == 5));
        }

        @Test
        void shouldHoldWhenTheLeaderChangesAfterEachCrash() {
            assertThatOnlyCrashingJobsFail(cell -> {
                List<TaskKey> crashing = submitBoth(cell, 5, step -> step == 2);
                for (int election = 0; election < 10; election++) {
                    cell.elect();
                    cell.time.advance(2_500);
                }
                return crashing;
            });
        }

        @Test
        void shouldHoldForAMemberOfAGang() {
            assertThatOnlyCrashingJobsFail(cell -> {
                submitBoth(cell, 5, _step -> false);
                TaskKey crashing = cell.makeCrashing(cell.submit(SimulatedCell.tasks(4, 1_500, true)), CRASHING_TASK);
                submitBoth(cell, 5, _step -> false);
                return List.of(crashing);
            });
        }

        @Test
        void shouldHoldWhenATaskCrashesItsWorkersOnlyAfterAWhile() {
            assertThatOnlyCrashingJobsFail(cell -> {
                cell.setCrashDelay(2_000);
                return submitBoth(cell, 10, step -> step == 5);
            });
        }

        @Test
        void shouldHoldWhenWorkersReturnOnlyAfterTheirLeaseHasExpired() {
            assertThatOnlyCrashingJobsFail(cell -> {
                cell.setRebootTime(7_000);
                return submitBoth(cell, 10, step -> step == 5);
            });
        }

        @Test
        void shouldHoldWhileOrdersAreLostAndLate() {
            assertThatOnlyCrashingJobsFail(0.1, cell -> {
                List<TaskKey> crashing = submitBoth(cell, 10, step -> step == 5);
                cell.time.advance(SETTLE_MS);
                return crashing;
            });
        }

        @Test
        void shouldHoldWhenOrdersToAFormerIncarnationAreAccepted() {
            assertThatOnlyCrashingJobsFail(cell -> {
                cell.acceptOrdersToFormerIncarnations();
                return submitBoth(cell, 10, step -> step == 5);
            });
        }
    }

    @Nested
    final class SoundWork {
        @Test
        void shouldBeKeptWhenWorkersCrashTogetherBesideCrashingTasks() {
            assertThatOnlyCrashingJobsFail(cell -> {
                List<TaskKey> crashing = new ArrayList<>();
                for (int round = 0; round < 4; round++) {
                    crashing.addAll(submitBoth(cell, 10, step -> step % 5 == 2));
                    cell.crashTogether(3);
                }
                return crashing;
            });
        }

        @Test
        void shouldBeKeptWhenItLosesItsWorkersManyTimesForOtherReasons() {
            assertThatOnlyCrashingJobsFail(cell -> {
                for (int round = 0; round < 10; round++) {
                    submitBoth(cell, 3, _step -> false);
                    cell.crashTogether(WORKERS / 2);
                    cell.time.advance(300);
                }
                return List.of();
            });
        }
    }

    @Nested
    final class TasksOfASilentWorker {
        private static final int JOBS = 8;

        /** Guards against tasks that get the last worker one at a time, since theirs fell silent at their start (LOST). */
        @Test
        void shouldNotWaitForOneAnother() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = new SimulatedCell(seed, 2, 0);
                cell.makeRunsSucceed();
                cell.time.advance(3_000);
                List<String> jobs = new ArrayList<>();
                for (int job = 0; job < JOBS; job++) {
                    jobs.add(cell.submit(SimulatedCell.tasks(1, 400, false)));
                }
                cell.time.advance(40);
                cell.partitionWorkerOf(jobs.get(0), SETTLE_MS);
                cell.time.advance(SimulatedCell.LEASE_MS + 8_000);

                for (String job : jobs) {
                    assertWithMessage("seed " + seed + ", " + job)
                            .that(cell.job(job).state())
                            .isEqualTo(GraphStateProto.GRAPH_COMPLETED);
                }
                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }
    }

    /** A lasting task is at work on each worker, so that none is ever empty. */
    @Nested
    final class LastingTasksOnAllWorkers {
        private static final int FEW_WORKERS = 4;

        private SimulatedCell cellWithLastingTasks(long seed) {
            SimulatedCell cell = new SimulatedCell(seed, FEW_WORKERS, 0);
            cell.time.advance(3_000);
            cell.submit(SimulatedCell.tasks(FEW_WORKERS, 500, false).toBuilder()
                    .setLasting(true)
                    .setMostPerWorker(1)
                    .build());
            cell.time.advance(3_000);
            assertThat(cell.machine().runs()).hasSize(FEW_WORKERS);
            return cell;
        }

        private void assertThatJobCompletesAfterACrash(boolean isGang) {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cellWithLastingTasks(seed);
                String job = cell.submit(SimulatedCell.tasks(2, 600, isGang));
                cell.time.advance(40);
                cell.crashWorkerOf(job);
                cell.time.advance(12_000);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
                assertWithMessage("seed " + seed)
                        .that(cell.job(job).state())
                        .isEqualTo(GraphStateProto.GRAPH_COMPLETED);
            }
        }

        /** Guards against a task that never runs again after its worker crashed just after its start (LOST). */
        @Test
        void shouldNotKeepATaskFromRunningAfterItsWorkerCrashed() {
            assertThatJobCompletesAfterACrash(false);
        }

        /** Guards against the same for gangs, whose members each need an empty worker. */
        @Test
        void shouldNotKeepAGangFromRunningAfterItsWorkerCrashed() {
            assertThatJobCompletesAfterACrash(true);
        }

        /** Guards against starting a crashing task without limit once it may share workers, and blaming what it shared them with. */
        @Test
        void shouldNotKeepACrashingTaskFromBeingGivenUp() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = cellWithLastingTasks(seed);
                List<TaskKey> crashing = submitBoth(cell, 20, step -> step % 10 == 5);
                cell.time.advance(SETTLE_MS);

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
                for (TaskKey task : crashing) {
                    assertWithMessage("seed " + seed)
                            .that(cell.job(task.job()).state())
                            .isEqualTo(GraphStateProto.GRAPH_FAILED);
                }
                assertWithMessage("seed " + seed)
                        .that(cell.job("job0").state())
                        .isEqualTo(GraphStateProto.GRAPH_RUNNING);
                for (String job : soundJobs) {
                    assertWithMessage("seed " + seed + ", " + job)
                            .that(cell.job(job).state())
                            .isEqualTo(GraphStateProto.GRAPH_COMPLETED);
                }
                soundJobs.clear();
            }
        }
    }

    @Nested
    final class Damage {
        @Test
        void shouldLoseNoOtherJobsRunsAfterTheFirstCrash() {
            SimulatedCell cell = cell(1, 0);
            List<TaskKey> crashing = submitBoth(cell, 8, step -> step == 2);

            cell.time.advance(SETTLE_MS);

            assertThat(cell.crashesOf(crashing.get(0))).isAtLeast(2);
            assertThat(cell.crashesWithRunsOfOtherJobs()).isAtMost(1);
        }
    }
}
