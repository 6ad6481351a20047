package org.lovagegrade.core;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class LifecycleTest {
    private static CellDriver cell(int workers) {
        return new CellDriver(Policy.current())
                .workers(workers, 16, 65_536)
                .workspace("norte", 0.6)
                .workClass("batch", ClassKind.BATCH, 0, 0);
    }

    @Nested
    final class TheFence {
        @Test
        void shouldIgnoreAReportOfAFormerAttempt() {
            // given
            CellDriver cell = cell(2).submit("job", "norte", "batch", 1, 1).until(0);
            Attempt former = cell.runningAttempts("job").get(0);
            cell.apply(new Event.WorkerUnresponsive(former.worker()));
            cell.apply(new Event.LeaseExpired(former)).until(1);
            assertThat(cell.runningAttempts("job").get(0).number()).isEqualTo(2);

            // when
            cell.apply(new Event.AttemptEnded(former)).until(2);

            // then
            assertThat(cell.decisions(Action.END)).isEmpty();
            assertThat(cell.runningTasks("job")).isEqualTo(1);
        }

        @Test
        void shouldIgnoreAReportOfAnotherWorker() {
            // given
            CellDriver cell = cell(2).submit("job", "norte", "batch", 1, 1).until(0);

            // when
            cell.apply(new Event.AttemptEnded(new Attempt("job", 0, 1, "stranger")))
                    .until(1);

            // then
            assertThat(cell.decisions(Action.END)).isEmpty();
        }
    }

    @Nested
    final class SilentWorkers {
        @Test
        void shouldKeepTheirTasksUntilTheLeaseIsOver() {
            // given
            CellDriver cell = cell(2).submit("job", "norte", "batch", 1, 1).until(0);
            Attempt held = cell.runningAttempts("job").get(0);

            // when
            cell.apply(new Event.WorkerUnresponsive(held.worker())).until(60_000);

            // then
            assertThat(cell.decisions(Action.PLACE)).hasSize(1);

            // when
            cell.apply(new Event.LeaseExpired(held)).until(60_001);

            // then
            assertThat(cell.runningAttempts("job").get(0).worker()).isNotEqualTo(held.worker());
        }

        @Test
        void shouldBeToldToStopOnceTheyAreHeardAgain() {
            // given
            CellDriver cell = cell(1).submit("job", "norte", "batch", 1, 1).until(0);
            Attempt held = cell.runningAttempts("job").get(0);
            cell.apply(new Event.WorkerUnresponsive(held.worker()));
            cell.apply(new Event.JobCancelled("job")).until(1);
            assertThat(cell.decisions(Action.STOP)).isEmpty();

            // when
            Worker heard = new Worker(held.worker(), "d0", "r-d0", Resources.of(16_000, 65_536, 0));
            cell.apply(new Event.WorkerResponsive(heard)).until(2);

            // then
            assertThat(cell.decisions(Action.STOP)).hasSize(1);
        }
    }

    @Nested
    final class WorkersThatFailEveryTask {
        @Test
        void shouldGetOnlyProbesUntilOneSucceeds() {
            // given: w0 fails every task after 500 ms
            CellDriver cell = cell(3);
            for (int i = 0; i < 60; i++) {
                cell.submit("job-" + i, "norte", "batch", 1, 4).running("job-" + i, 20_000);
            }
            for (long atMs = 0; atMs < 60_000; atMs += 500) {
                cell.until(atMs);
                failAllOn(cell, "w0");
            }

            // when
            List<Decision> placedLate = cell.decisions(Action.PLACE).stream()
                    .filter(decision -> decision.worker().equals("w0"))
                    .toList();

            // then: a few failures to find it, then probes with growing pauses
            assertThat(placedLate.size()).isAtMost(12);
            assertThat(placedLate.get(placedLate.size() - 1).reason()).isEqualTo(Reason.PROBE);
        }

        private void failAllOn(CellDriver cell, String worker) {
            for (int i = 0; i < 60; i++) {
                for (Attempt attempt : cell.runningAttempts("job-" + i)) {
                    if (attempt.worker().equals(worker)) {
                        cell.apply(new Event.AttemptFailed(attempt));
                    }
                }
            }
        }
    }

    @Nested
    final class AJobThatFailsEverywhere {
        @Test
        void shouldNotMakeSoundWorkersSuspect() {
            // given
            CellDriver cell = cell(4).submit("poison", "norte", "batch", 1, 1);
            for (long atMs = 0; atMs < 900_000; atMs += 500) {
                cell.until(atMs);
                cell.runningAttempts("poison").forEach(attempt -> cell.apply(new Event.AttemptFailed(attempt)));
            }

            // when
            cell.submit("sound", "norte", "batch", 4, 16).until(1_000_000);

            // then
            assertThat(cell.runningTasks("sound")).isEqualTo(4);
            assertThat(cell.decisions(Action.FAIL, "poison").get(16).reason()).isEqualTo(Reason.FAILED_TOO_OFTEN);
        }
    }

    @Nested
    final class UsageAboveTheDeclaredSize {
        @Test
        void shouldNeverLeaveAWorkerWithMoreThanItHas() {
            // given
            CellDriver cell = cell(1).submit("liar", "norte", "batch", 16, 1).until(0);
            assertThat(cell.runningTasks("liar")).isEqualTo(16);

            // when
            for (Attempt attempt : cell.runningAttempts("liar")) {
                cell.apply(new Event.UsageReported(attempt, Resources.of(2_000, 256, 0)));
            }
            cell.until(1);

            // then
            assertThat(cell.runningTasks("liar")).isEqualTo(8);
        }
    }

    @Nested
    final class Determinism {
        @Test
        void shouldDecideTheSameForTheSameEvents() {
            assertThat(history()).isEqualTo(history());
        }

        private List<Decision> history() {
            CellDriver cell = cell(5).workspace("sur", 0.4).workClass("urgent", ClassKind.BATCH, 2_200, 0);
            for (int i = 0; i < 100; i++) {
                cell.submit("job-" + i, i % 2 == 0 ? "norte" : "sur", "batch", 1 + i % 4, 1 + i % 3)
                        .running("job-" + i, 1_000 + i * 13L)
                        .submit("urgent-" + i, "sur", "urgent", 1, 1)
                        .running("urgent-" + i, 700)
                        .until(i * 100L);
            }
            return cell.until(120_000).decisions(Action.PLACE);
        }
    }
}
