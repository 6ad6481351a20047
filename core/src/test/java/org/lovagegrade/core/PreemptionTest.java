package org.lovagegrade.core;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PreemptionTest {
    private static final long URGENT_TARGET_MS = 2_200;
    private static final long SHARE_TARGET_MS = 20_000;

    private static CellDriver fullCell() {
        return new CellDriver(Policy.current())
                .workers(10, 16, 65_536)
                .workspace("large", 0.5)
                .workspace("small", 0.5)
                .workClass("urgent", ClassKind.BATCH, URGENT_TARGET_MS, 0)
                .workClass("batch", ClassKind.BATCH, 0, SHARE_TARGET_MS)
                .submit("filler", "large", "batch", 80, 2)
                .advanceTo(1_000);
    }

    @Nested
    final class UrgentWork {
        @Test
        void shouldStartWithinItsTargetInAFullCell() {
            // given
            CellDriver cell = fullCell();

            // when
            cell.submit("fitting", "small", "urgent", 1, 1).advanceTo(1_000 + URGENT_TARGET_MS);

            // then
            assertThat(cell.runningTasks("fitting")).isEqualTo(1);
            assertThat(cell.decisions(Action.CHECKPOINT)).hasSize(1);
        }

        @Test
        void shouldPreemptOwnWorkspaceWhenItAloneFillsTheCell() {
            // given
            CellDriver cell = fullCell();

            // when
            cell.submit("fitting", "large", "urgent", 3, 1).advanceTo(1_000 + URGENT_TARGET_MS);

            // then
            assertThat(cell.runningTasks("fitting")).isEqualTo(3);
        }

        @Test
        void shouldNeverStopOtherUrgentWork() {
            // given
            CellDriver cell = new CellDriver(Policy.current())
                    .workers(1, 4, 8_192)
                    .workspace("large", 1)
                    .workClass("urgent", ClassKind.BATCH, URGENT_TARGET_MS, 0)
                    .submit("first", "large", "urgent", 4, 1)
                    .advanceTo(100);

            // when
            cell.submit("second", "large", "urgent", 1, 1).advanceTo(10_000);

            // then
            assertThat(cell.runningTasks("first")).isEqualTo(4);
            assertThat(cell.runningTasks("second")).isEqualTo(0);
        }
    }

    @Nested
    final class Shares {
        @Test
        void shouldBeRestoredWithinShareTarget() {
            // given
            CellDriver cell = fullCell();

            // when
            cell.submit("rebuild", "small", "batch", 60, 2).advanceTo(1_000 + SHARE_TARGET_MS);

            // then
            assertThat(cell.runningTasks("rebuild")).isEqualTo(40);
            assertThat(cell.runningTasks("filler")).isEqualTo(40);
        }

        @Test
        void shouldNotOscillateOnceRestored() {
            // given
            CellDriver cell = fullCell();
            cell.submit("rebuild", "small", "batch", 60, 2).advanceTo(1_000 + SHARE_TARGET_MS);
            int stopsToRestore = cell.decisions(Action.STOP).size();

            // when
            cell.advanceTo(600_000);

            // then
            assertThat(cell.decisions(Action.STOP)).hasSize(stopsToRestore);
        }

        @Test
        void shouldPlaceJobOnWorkerReservedForItDespiteManyEarlierJobs() {
            // given: more waiting jobs of one size than are checked when capacity is freed
            CellDriver cell = fullCell();
            for (int i = 0; i < 30; i++) {
                cell.submit("rebuild-" + i, "small", "batch", 4, 2);
            }

            // when
            cell.advanceTo(1_000 + SHARE_TARGET_MS);

            // then: the cell is full again, half used by each workspace
            assertThat(cell.runningTasks("filler")).isEqualTo(40);
            long rebuilding = 0;
            for (int i = 0; i < 30; i++) {
                rebuilding += cell.runningTasks("rebuild-" + i);
            }
            assertThat(rebuilding).isEqualTo(40);
        }
    }
}
