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
    final class Fencing {
        @Test
        void shouldIgnoreReportOfPreviousAttempt() {
            // given
            CellDriver cell = cell(2).submit("job", "norte", "batch", 1, 1).advanceTo(0);
            Attempt previous = cell.runningAttempts("job").get(0);
            cell.apply(new Event.WorkerUnresponsive(previous.worker()));
            cell.apply(new Event.LeaseExpired(previous)).advanceTo(1);
            assertThat(cell.runningAttempts("job").get(0).number()).isEqualTo(2);

            // when
            cell.apply(new Event.AttemptEnded(previous)).advanceTo(2);

            // then
            assertThat(cell.decisions(Action.END)).isEmpty();
            assertThat(cell.runningTasks("job")).isEqualTo(1);
        }

        @Test
        void shouldIgnoreReportOfOtherWorker() {
            // given
            CellDriver cell = cell(2).submit("job", "norte", "batch", 1, 1).advanceTo(0);

            // when
            cell.apply(new Event.AttemptEnded(new Attempt("job", 0, 1, "other")))
                    .advanceTo(1);

            // then
            assertThat(cell.decisions(Action.END)).isEmpty();
        }
    }

    @Nested
    final class UnresponsiveWorkers {
        @Test
        void shouldKeepTasksUntilLeaseExpires() {
            // given
            CellDriver cell = cell(2).submit("job", "norte", "batch", 1, 1).advanceTo(0);
            Attempt held = cell.runningAttempts("job").get(0);

            // when
            cell.apply(new Event.WorkerUnresponsive(held.worker())).advanceTo(60_000);

            // then
            assertThat(cell.decisions(Action.PLACE)).hasSize(1);

            // when
            cell.apply(new Event.LeaseExpired(held)).advanceTo(60_001);

            // then
            assertThat(cell.runningAttempts("job").get(0).worker()).isNotEqualTo(held.worker());
        }

        @Test
        void shouldReceivePendingStopWhenResponsiveAgain() {
            // given
            CellDriver cell = cell(1).submit("job", "norte", "batch", 1, 1).advanceTo(0);
            Attempt held = cell.runningAttempts("job").get(0);
            cell.apply(new Event.WorkerUnresponsive(held.worker()));
            cell.apply(new Event.JobCancelled("job")).advanceTo(1);
            assertThat(cell.decisions(Action.STOP)).isEmpty();

            // when
            Worker responsive = new Worker(held.worker(), "d0", "r-d0", Resources.of(16_000, 65_536, 0));
            cell.apply(new Event.WorkerResponsive(responsive)).advanceTo(2);

            // then
            assertThat(cell.decisions(Action.STOP)).hasSize(1);
        }
    }

    @Nested
    final class FailingWorkers {
        @Test
        void shouldGetOnlyProbesUntilOneSucceeds() {
            // given: w0 fails every task after 500 ms
            CellDriver cell = cell(3);
            for (int i = 0; i < 60; i++) {
                cell.submit("job-" + i, "norte", "batch", 1, 4).runDuration("job-" + i, 20_000);
            }
            for (long atMs = 0; atMs < 60_000; atMs += 500) {
                cell.advanceTo(atMs);
                failAllOn(cell, "w0");
            }

            // when
            List<Decision> placements = cell.decisions(Action.PLACE).stream()
                    .filter(decision -> decision.worker().equals("w0"))
                    .toList();

            // then: a few failures until it is suspect, then probes with exponential backoff
            assertThat(placements.size()).isAtMost(12);
            assertThat(placements.get(placements.size() - 1).reason()).isEqualTo(Reason.PROBE);
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
    final class JobsFailingEverywhere {
        @Test
        void shouldNotMakeHealthyWorkersSuspect() {
            // given
            CellDriver cell = cell(4).submit("poison", "norte", "batch", 1, 1);
            for (long atMs = 0; atMs < 900_000; atMs += 500) {
                cell.advanceTo(atMs);
                cell.runningAttempts("poison").forEach(attempt -> cell.apply(new Event.AttemptFailed(attempt)));
            }

            // when
            cell.submit("healthy", "norte", "batch", 4, 16).advanceTo(1_000_000);

            // then
            assertThat(cell.runningTasks("healthy")).isEqualTo(4);
            assertThat(cell.decisions(Action.FAIL, "poison").get(16).reason()).isEqualTo(Reason.FAILED_TOO_OFTEN);
        }
    }

    @Nested
    final class UsageAboveDeclaredSize {
        @Test
        void shouldNotLeaveWorkerOvercommitted() {
            // given
            CellDriver cell =
                    cell(1).submit("understated", "norte", "batch", 16, 1).advanceTo(0);
            assertThat(cell.runningTasks("understated")).isEqualTo(16);

            // when
            for (Attempt attempt : cell.runningAttempts("understated")) {
                cell.apply(new Event.UsageReported(attempt, Resources.of(2_000, 256, 0)));
            }
            cell.advanceTo(1);

            // then
            assertThat(cell.runningTasks("understated")).isEqualTo(8);
        }
    }

    @Nested
    final class Determinism {
        @Test
        void shouldMakeSameDecisionsForSameEvents() {
            assertThat(history()).isEqualTo(history());
        }

        private List<Decision> history() {
            CellDriver cell = cell(5).workspace("sur", 0.4).workClass("urgent", ClassKind.BATCH, 2_200, 0);
            for (int i = 0; i < 100; i++) {
                cell.submit("job-" + i, i % 2 == 0 ? "norte" : "sur", "batch", 1 + i % 4, 1 + i % 3)
                        .runDuration("job-" + i, 1_000 + i * 13L)
                        .submit("urgent-" + i, "sur", "urgent", 1, 1)
                        .runDuration("urgent-" + i, 700)
                        .advanceTo(i * 100L);
            }
            return cell.advanceTo(120_000).decisions(Action.PLACE);
        }
    }
}
