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
    }
}
