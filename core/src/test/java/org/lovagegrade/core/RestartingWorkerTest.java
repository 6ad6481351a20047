package org.lovagegrade.core;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a task that crashes one worker after the other. */
final class RestartingWorkerTest {
    private static final int MAX_STARTS_OF_CRASHING_TASK = 5;

    private final CellDriver cell = new CellDriver(Policy.current())
            .workspace("team", 1)
            .workClass("batch", ClassKind.BATCH, 0, 0)
            .workers(4, 8, 8_000);

    /** Lets each worker on which an attempt of the job is placed start again, once a second. */
    private void restartWorkersOf(String job, int seconds) {
        for (int second = 1; second <= seconds; second++) {
            for (Attempt attempt : List.copyOf(cell.runningAttempts(job))) {
                cell.worker(attempt.worker(), "d0", 8, 8_000);
            }
            cell.advanceTo(cell.nowMs() + 1_000);
        }
    }

    @Nested
    final class CrashingTask {
        @Test
        void shouldNotBeStartedAgainWithoutLimit() {
            cell.submit("crashing", "team", "batch", 1, 1).advanceTo(1);

            restartWorkersOf("crashing", 60);

            assertThat(cell.decisions(Action.PLACE, "crashing").size()).isAtMost(MAX_STARTS_OF_CRASHING_TASK);
        }

        @Test
        void shouldFailItsJob() {
            cell.submit("crashing", "team", "batch", 2, 1).advanceTo(1);

            restartWorkersOf("crashing", 60);

            assertThat(reasonsOfFailure("crashing")).contains(Reason.CRASHES_WORKERS);
            assertThat(cell.runningTasks("crashing")).isEqualTo(0);
        }

        @Test
        void shouldShareItsWorkerWithNoOtherJobAfterTwoRestarts() {
            cell.runDuration("other", 3_000)
                    .submit("other", "team", "batch", 8, 1)
                    .advanceTo(1);
            cell.submit("crashing", "team", "batch", 1, 1).advanceTo(2);
            restartWorkersOf("crashing", 2);
            cell.submit("late", "team", "batch", 8, 1).advanceTo(cell.nowMs() + 10_000);

            List<String> workersOfCrashing = workersOf("crashing");

            assertThat(workersOfCrashing).hasSize(1);
            assertThat(workersOf("late")).doesNotContain(workersOfCrashing.get(0));
        }

        @Test
        void shouldKeepItsCountWhenAnotherSchedulerTakesOver() {
            Resources size = Resources.of(Resources.MILLI_CORES_PER_CORE, 256, 0);
            Job job = new Job("crashing", "team", "batch", 1, size, 0, 0);
            cell.apply(new Event.JobRestored(job, List.of(), List.of(), List.of(3), List.of(new WorkerRestarts(4))))
                    .advanceTo(1);

            restartWorkersOf("crashing", 60);

            assertThat(cell.decisions(Action.PLACE, "crashing")).hasSize(1);
        }
    }

    /** A service is at work on each worker, so that none is ever without other jobs. */
    @Nested
    final class ServicesOnAllWorkers {
        private static final int WORKERS = 4;

        private void startServices() {
            cell.workClass("service", ClassKind.SERVICE, 0, 0)
                    .submit("web", "team", "service", WORKERS, 5)
                    .advanceTo(1);
            assertThat(cell.runningTasks("web")).isEqualTo(WORKERS);
        }

        /** Guards against a job that never runs again after two workers restarted under it (LOST). */
        @Test
        void shouldNotKeepASuspectJobFromRunning() {
            startServices();
            cell.submit("suspect", "team", "batch", 1, 1).advanceTo(2);

            restartWorkersOf("suspect", 2);
            cell.advanceTo(cell.nowMs() + 40_000);

            assertThat(cell.runningTasks("suspect")).isEqualTo(1);
        }

        /** Guards against a worker that stays closed to others for good, since it never gets empty after such a job (LOST). */
        @Test
        void shouldOpenTheirWorkersAgainOnceASuspectJobHasEnded() {
            startServices();
            cell.runDuration("suspect", 50_000)
                    .submit("suspect", "team", "batch", 1, 1)
                    .advanceTo(2);
            restartWorkersOf("suspect", 2);
            cell.advanceTo(cell.nowMs() + 120_000);

            cell.submit("late", "team", "batch", WORKERS, 3).advanceTo(cell.nowMs() + 1_000);

            List<Decision> starts = cell.decisions(Action.PLACE, "suspect");
            assertThat(cell.runningTasks("suspect")).isEqualTo(0);
            assertThat(workersOf("late")).contains(starts.get(starts.size() - 1).worker());
        }

        /** Guards against a crashing job that is started without limit, or a service that is given up in its place. */
        @Test
        void shouldBeKeptWhileACrashingJobIsGivenUp() {
            startServices();
            cell.submit("crashing", "team", "batch", 1, 1).advanceTo(2);

            restartWorkersOf("crashing", 300);

            assertThat(cell.decisions(Action.PLACE, "crashing").size()).isAtMost(MAX_STARTS_OF_CRASHING_TASK);
            assertThat(reasonsOfFailure("crashing")).contains(Reason.CRASHES_WORKERS);
            assertThat(reasonsOfFailure("web")).doesNotContain(Reason.CRASHES_WORKERS);
            assertThat(cell.runningTasks("web")).isEqualTo(WORKERS);
        }
    }

    @Nested
    final class SoundJobs {
        @Test
        void shouldBeKeptWhenTheirWorkersRestartNowAndThen() {
            cell.submit("service", "team", "batch", 1, 1).advanceTo(1);

            for (int day = 0; day < 20; day++) {
                cell.advanceTo(cell.nowMs() + 3_600_000);
                restartWorkersOf("service", 1);
            }

            assertThat(cell.runningTasks("service")).isEqualTo(1);
        }

        @Test
        void shouldBeKeptWhenAllWorkersRestartTogetherAgainAndAgain() {
            for (int job = 0; job < 4; job++) {
                cell.submit("sound" + job, "team", "batch", 1, 8);
            }
            cell.advanceTo(1);

            for (int round = 0; round < 4; round++) {
                for (int number = 0; number < 4; number++) {
                    cell.worker("w" + number, "d" + number % 3, 8, 8_000);
                }
                cell.advanceTo(cell.nowMs() + 5_000);
            }

            for (int job = 0; job < 4; job++) {
                assertThat(reasonsOfFailure("sound" + job)).doesNotContain(Reason.CRASHES_WORKERS);
            }
        }
    }

    private List<Reason> reasonsOfFailure(String job) {
        return cell.decisions(Action.FAIL, job).stream().map(Decision::reason).toList();
    }

    private List<String> workersOf(String job) {
        return cell.runningAttempts(job).stream().map(Attempt::worker).toList();
    }
}
