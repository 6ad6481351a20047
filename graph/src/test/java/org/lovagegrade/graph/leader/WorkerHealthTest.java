package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.TaskKey;

final class WorkerHealthTest {
    private final WorkerHealth health = new WorkerHealth();

    private static TaskKey taskOf(String job) {
        return new TaskKey(job, 0, 0, 0);
    }

    @Nested
    final class Failures {
        @Test
        void shouldNotSuspectAWorkerForOneJobThatFailsEverywhere() {
            health.failed("w", taskOf("a"), 0);
            health.failed("w", taskOf("a"), 1);

            assertThat(health.mayTake("w", 5, 2)).isTrue();
        }

        @Test
        void shouldRestAWorkerOnWhichSeveralJobsFailInARow() {
            health.failed("w", taskOf("a"), 0);
            health.failed("w", taskOf("b"), 1);

            assertThat(health.mayTake("w", 0, 2)).isFalse();
        }

        @Test
        void shouldTrustAgainWhenSomethingCompletes() {
            health.failed("w", taskOf("a"), 0);
            health.completed("w");
            health.failed("w", taskOf("b"), 1);

            assertThat(health.mayTake("w", 0, 2)).isTrue();
        }

        @Test
        void shouldProbeWithOneRunAfterTheRest() {
            health.failed("w", taskOf("a"), 0);
            health.failed("w", taskOf("b"), 0);

            assertThat(health.mayTake("w", 0, 2_500)).isTrue();
            assertThat(health.mayTake("w", 1, 2_500)).isFalse();
        }

        @Test
        void shouldRememberWhereATaskFailedUntilItsJobIsOver() {
            health.failed("w", taskOf("a"), 0);
            assertThat(health.failedAt(taskOf("a"))).containsExactly("w");

            health.forgetJob("a");

            assertThat(health.failedAt(taskOf("a"))).isEmpty();
        }
    }

    @Nested
    final class Stalls {
        @Test
        void shouldRestAWorkerAtOnce() {
            health.stalled("w", taskOf("a"), 0);

            assertThat(health.mayTake("w", 0, 1)).isFalse();
        }
    }
}
