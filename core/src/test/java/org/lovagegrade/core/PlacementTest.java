package org.lovagegrade.core;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlacementTest {
    private static CellDriver cell(int workers) {
        return new CellDriver(Policy.current())
                .workers(workers, 16, 65_536)
                .workspace("norte", 0.6)
                .workspace("sur", 0.4)
                .workClass("urgent", ClassKind.BATCH, 2_200, 0)
                .workClass("batch", ClassKind.BATCH, 0, 20_000)
                .workClass("gang", ClassKind.GANG, 120_000, 0)
                .workClass("service", ClassKind.SERVICE, 10_000, 0);
    }

    @Nested
    final class Gangs {
        @Test
        void shouldBePlacedWholeOrNotAtAll() {
            // given
            CellDriver cell = cell(2).submit("filler", "norte", "batch", 1, 10).advanceTo(0);

            // when
            cell.submit("gang", "norte", "gang", 8, 4).advanceTo(1_000);

            // then
            assertThat(cell.decisions(Action.PLACE, "gang")).isEmpty();
        }

        @Test
        void shouldBePlacedWholeAgainWhenOneTaskIsLost() {
            // given
            CellDriver cell = cell(3).submit("gang", "norte", "gang", 4, 4).advanceTo(0);
            Attempt lost = cell.runningAttempts("gang").get(0);

            // when
            cell.apply(new Event.AttemptFailed(lost)).advanceTo(5_000);

            // then
            assertThat(cell.decisions(Action.STOP, "gang")).hasSize(3);
            assertThat(cell.runningAttempts("gang").stream()
                            .map(Attempt::number)
                            .toList())
                    .isEqualTo(List.of(2, 2, 2, 2));
        }

        @Test
        void shouldGetCapacityDespiteStreamOfSmallJobs() {
            // given: a stream of small jobs that keeps the cell full
            CellDriver cell = cell(4);
            for (int i = 0; i < 400; i++) {
                cell.submit("small-" + i, "norte", "batch", 1, 4).runDuration("small-" + i, 3_000 + 37 * (i % 50));
            }
            cell.advanceTo(100);

            // when
            cell.submit("gang", "sur", "gang", 2, 12).runDuration("gang", 1_000).advanceTo(60_000);

            // then
            assertThat(cell.decisions(Action.PLACE, "gang")).isNotEmpty();
        }
    }

    @Nested
    final class Services {
        @Test
        void shouldBeSpreadOverFailureDomains() {
            // given
            CellDriver cell = cell(6);

            // when
            cell.submit("map", "sur", "service", 3, 1).advanceTo(0);

            // then
            List<Integer> domains = cell.runningAttempts("map").stream()
                    .map(attempt -> Integer.parseInt(attempt.worker().substring(1)) % 3)
                    .sorted()
                    .toList();
            assertThat(domains).isEqualTo(List.of(0, 1, 2));
        }
    }

    @Nested
    final class UnschedulableJobs {
        @Test
        void shouldNotBlockOtherJobs() {
            // given
            CellDriver cell = cell(1);

            // when
            cell.submit("huge", "norte", "batch", 1, 17)
                    .submit("ordinary", "norte", "batch", 1, 1)
                    .advanceTo(0);

            // then
            assertThat(cell.decisions(Action.SET_ASIDE, "huge").get(0).reason())
                    .isEqualTo(Reason.LARGER_THAN_ANY_WORKER);
            assertThat(cell.runningTasks("ordinary")).isEqualTo(1);
        }

        @Test
        void shouldBePlacedWhenLargeEnoughWorkerIsAnnounced() {
            // given
            CellDriver cell = cell(1).submit("huge", "norte", "batch", 1, 17).advanceTo(0);

            // when
            cell.worker("large", "d0", 32, 65_536).advanceTo(1);

            // then
            assertThat(cell.runningAttempts("huge").get(0).worker()).isEqualTo("large");
        }

        @Test
        void shouldBePlacedWhenWorkspaceLimitIsRaised() {
            // given
            CellDriver cell = cell(4).workspaceLimitedTo("norte", 0.6, 8)
                    .submit("gang", "norte", "gang", 4, 4)
                    .advanceTo(0);
            assertThat(cell.decisions(Action.SET_ASIDE, "gang").get(0).reason())
                    .isEqualTo(Reason.LARGER_THAN_WORKSPACE_LIMIT);

            // when
            cell.workspaceLimitedTo("norte", 0.6, 16).advanceTo(1);

            // then
            assertThat(cell.runningTasks("gang")).isEqualTo(4);
        }

        @Test
        void shouldNotDelayUrgentWorkWhenGangNeedsWholeCell() {
            // given: a gang that needs every worker, while long tasks run on all of them
            CellDriver cell = cell(4);
            for (int i = 0; i < 16; i++) {
                cell.submit("long-" + i, "norte", "batch", 1, 4).runDuration("long-" + i, 600_000);
            }
            cell.submit("whole-cell", "sur", "gang", 4, 16).advanceTo(10_000);

            // when
            cell.submit("fitting", "norte", "urgent", 1, 1).advanceTo(10_000 + 2_200);

            // then
            assertThat(cell.runningTasks("fitting")).isEqualTo(1);
        }
    }

    @Nested
    final class WorkspaceLimits {
        @Test
        void shouldNeverBeExceeded() {
            // given
            CellDriver cell = cell(4).workspaceLimitedTo("norte", 0.6, 10);

            // when
            cell.submit("wide", "norte", "batch", 30, 2).advanceTo(60_000);

            // then
            assertThat(cell.runningTasks("wide")).isEqualTo(5);
        }

        @Test
        void shouldStopTasksAboveLoweredLimit() {
            // given
            CellDriver cell = cell(4).submit("wide", "norte", "batch", 20, 2).advanceTo(0);

            // when
            cell.workspaceLimitedTo("norte", 0.6, 10).advanceTo(1);

            // then
            assertThat(cell.runningTasks("wide")).isEqualTo(5);
            assertThat(cell.decisions(Action.CHECKPOINT)).hasSize(15);
        }
    }

    @Nested
    final class Cancellation {
        @Test
        void shouldStopRunningTasksAndPlaceNoMore() {
            // given
            CellDriver cell = cell(1).submit("wide", "norte", "batch", 20, 1).advanceTo(0);

            // when
            cell.apply(new Event.JobCancelled("wide")).advanceTo(60_000);

            // then
            assertThat(cell.runningTasks("wide")).isEqualTo(0);
            assertThat(cell.decisions(Action.PLACE, "wide")).hasSize(16);
        }
    }
}
