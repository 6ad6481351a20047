package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Guards against the restart of work elsewhere that a leaving worker has just been given. */
final class WorkerLeavingTest {
    private static final int SEEDS = 100;
    /** Long enough for a plan, and shorter than most commits. */
    private static final long PLAN_MS = 6;

    @Test
    void shouldKeepARunWhoseStartWasProposedBeforeItsWorkerAnnouncedItsEnd() {
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedCell cell = new SimulatedCell(seed, 3, 0);
            cell.time.advance(3_000);
            cell.submit(SimulatedCell.tasks(2, 3_000, false));
            cell.time.advance(PLAN_MS);
            cell.leave(0);
            cell.leave(1);
            cell.time.advance(1_000);

            assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
        }
    }
}
