package org.lovagegrade.core;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class WakeTest {
    @Test
    void shouldNotWakeEveryMillisecondWhileProbeRuns() {
        // given: a worker that became suspect after three failed tasks and now runs a long probe
        CellDriver cell = new CellDriver(Policy.current())
                .workers(1, 16, 65_536)
                .workspace("norte", 1)
                .workClass("batch", ClassKind.BATCH, 0, 20_000)
                .submit("first", "norte", "batch", 4, 4)
                .submit("second", "norte", "batch", 4, 4)
                .advanceTo(0);
        for (int i = 0; i < 3; i++) {
            cell.apply(new Event.AttemptFailed(cell.runningAttempts("first").get(0)))
                    .advanceTo(10 + i);
        }
        cell.advanceTo(30_000);

        // when
        int wakes = 0;
        long atMs = cell.scheduler().nextWakeMs().orElse(Long.MAX_VALUE);
        while (atMs < 60_000) {
            wakes++;
            cell.scheduler().decide(atMs);
            atMs = cell.scheduler().nextWakeMs().orElse(Long.MAX_VALUE);
        }

        // then: much fewer wake-ups than one per millisecond
        assertThat(wakes).isAtMost(1_000);
    }
}
