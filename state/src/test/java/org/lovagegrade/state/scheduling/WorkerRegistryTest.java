package org.lovagegrade.state.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Worker;
import org.lovagegrade.state.scheduling.WorkerRegistry.HeartbeatKind;

final class WorkerRegistryTest {
    private static final String FIRST_BOOT = "1000-a";
    private static final String LATER_BOOT = "9000-b";
    private static final long HEARD_AT_MS = 10_000;
    private static final long SILENT_MS = WorkerRegistry.SUCCESSION_SILENCE_MS;

    private final Worker worker = new Worker("w", "domain", "rack", Resources.of(1_000, 1_000, 0));
    private final WorkerRegistry registry = new WorkerRegistry(0);

    private HeartbeatKind heartbeat(String bootId, boolean holdsAttemptsOfOtherBoot, long nowMs) {
        return registry.recordHeartbeat(worker, bootId, holdsAttemptsOfOtherBoot, nowMs);
    }

    @Nested
    final class AnotherProcessUnderTheSameId {
        /** Guards against one heartbeat of another writer that ends the attempts of a worker that is up (TWICE). */
        @Test
        void shouldNotReplaceAProcessThatWasHeardJustNow() {
            heartbeat(FIRST_BOOT, false, HEARD_AT_MS);

            assertThat(heartbeat(LATER_BOOT, true, HEARD_AT_MS + SILENT_MS - 1)).isEqualTo(HeartbeatKind.UNPROVEN);
            assertThat(registry.bootId("w")).isEqualTo(Optional.of(FIRST_BOOT));
        }

        /** Guards against a worker whose own heartbeats count as delayed from then on (LOST). */
        @Test
        void shouldNotMakeTheHeartbeatsOfTheFirstProcessStale() {
            heartbeat(FIRST_BOOT, false, HEARD_AT_MS);
            heartbeat(LATER_BOOT, true, HEARD_AT_MS + 1);

            assertThat(heartbeat(FIRST_BOOT, false, HEARD_AT_MS + 2)).isEqualTo(HeartbeatKind.UNCHANGED);
        }

        @Test
        void shouldReplaceAProcessThatHasBeenSilent() {
            heartbeat(FIRST_BOOT, false, HEARD_AT_MS);

            assertThat(heartbeat(LATER_BOOT, true, HEARD_AT_MS + SILENT_MS)).isEqualTo(HeartbeatKind.RESTARTED);
        }

        /** Guards against a new leader that believes the first heartbeat, whoever wrote it. */
        @Test
        void shouldNotReplaceAProcessThatAnEarlierLeaderMayHaveHeardJustNow() {
            WorkerRegistry newLeaders = new WorkerRegistry(HEARD_AT_MS);

            assertThat(newLeaders.recordHeartbeat(worker, LATER_BOOT, true, HEARD_AT_MS + 1))
                    .isEqualTo(HeartbeatKind.UNPROVEN);
            assertThat(newLeaders.recordHeartbeat(worker, LATER_BOOT, true, HEARD_AT_MS + SILENT_MS))
                    .isEqualTo(HeartbeatKind.RESTARTED);
        }
    }
}
