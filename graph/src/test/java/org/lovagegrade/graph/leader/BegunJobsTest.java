package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.GraphStateProto;

/** Guards against jobs that count as begun once their start is in the log, though no worker has it (MIXED, review/9). */
final class BegunJobsTest {
    private static final long CUT_MS = 5_500;
    /** For so long an answer about a job may be old. */
    private static final long VISIBLE_MS = 2_000;

    private final SimulatedCell cell = new SimulatedCell(1, 1, 0);

    @BeforeEach
    void settle() {
        cell.makeRunsLast();
        cell.time.advance(3_000);
    }

    private GraphStateProto stateOf(String job) {
        return cell.job(job).state();
    }

    @Test
    void shouldNotHaveBegunWhileTheirWorkerIsOutOfReach() {
        cell.partition(0, CUT_MS);
        String job = cell.submit(SimulatedCell.tasks(1, 500, false));
        cell.time.advance(100);
        assertThat(cell.machine().runs()).hasSize(1);

        cell.time.advance(CUT_MS - 200);

        assertThat(stateOf(job)).isEqualTo(GraphStateProto.GRAPH_QUEUED);
    }

    @Test
    void shouldHaveBegunSoonAfterAWorkerHasConfirmedARun() {
        String job = cell.submit(SimulatedCell.tasks(1, 500, false));

        cell.time.advance(VISIBLE_MS);

        assertThat(stateOf(job)).isEqualTo(GraphStateProto.GRAPH_RUNNING);
    }

    /** Guards against a confirmation that is lost with the leader that got it. */
    @Test
    void shouldHaveBegunUnderTheNextLeaderToo() {
        String job = cell.submit(SimulatedCell.tasks(1, 500, false));
        cell.time.advance(20);
        cell.elect();

        cell.time.advance(1_000 + VISIBLE_MS);

        assertThat(stateOf(job)).isEqualTo(GraphStateProto.GRAPH_RUNNING);
    }
}
