package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.GraphStateProto;

/** Guards against taking a run for lost whose end its worker lists only later, after the ends before it (TWICE). */
final class IncompleteListingTest {
    private static final int SEEDS = 20;
    private static final int LISTED_ENDS = 3;
    private static final int TASKS = 10;
    /** Shorter than a lease, and longer than any run. */
    private static final long PARTITION_MS = 2_500;

    /** Tasks end while their only worker is cut off, which then has more ends to list than one listing holds. */
    private static SimulatedCell cellWithManyEnds(long seed, Consumer<SimulatedCell> duringPartition) {
        SimulatedCell cell = new SimulatedCell(seed, 1, 0);
        cell.listEndsInPagesOf(LISTED_ENDS);
        cell.time.advance(3_000);
        cell.submit(SimulatedCell.tasks(TASKS, 100, false));
        cell.time.advance(45);
        cell.partitionOne(PARTITION_MS);
        cell.time.advance(PARTITION_MS / 2);
        duringPartition.accept(cell);
        cell.time.advance(20_000);
        return cell;
    }

    private static void assertThatTasksRunOnce(Consumer<SimulatedCell> duringPartition) {
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedCell cell = cellWithManyEnds(seed, duringPartition);

            assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            assertWithMessage("seed " + seed).that(cell.job("job0").state()).isEqualTo(GraphStateProto.GRAPH_COMPLETED);
        }
    }

    @Nested
    final class MissingRuns {
        @Test
        void shouldNotBeTakenForLostWhileFurtherEndsFollow() {
            assertThatTasksRunOnce(_cell -> {});
        }

        /** Guards against a new leader that takes them for runs that never began. */
        @Test
        void shouldNotBeTakenForRefusedByANewLeaderWhileFurtherEndsFollow() {
            assertThatTasksRunOnce(SimulatedCell::elect);
        }

        /** Guards against waiting for ever for a run that never began on a worker that always has ends to list. */
        @Test
        void shouldBeStartedAgainOnceAListingIsComplete() {
            SimulatedCell cell = cellWithManyEnds(1, SimulatedCell::losePower);

            assertThat(cell.machine().runs()).isEmpty();
        }
    }
}
