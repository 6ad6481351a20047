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
            health.runFailed("w", taskOf("a"), 0);
            health.runFailed("w", taskOf("a"), 1);

            assertThat(health.mayStart("w", 5, 2)).isTrue();
        }

        @Test
        void shouldPauseAWorkerOnWhichSeveralJobsFailInARow() {
            health.runFailed("w", taskOf("a"), 0);
            health.runFailed("w", taskOf("b"), 1);

            assertThat(health.mayStart("w", 0, 2)).isFalse();
        }

        @Test
        void shouldNotCountEarlierFailuresOnceARunCompletes() {
            health.runFailed("w", taskOf("a"), 0);
            health.runCompleted("w");
            health.runFailed("w", taskOf("b"), 1);

            assertThat(health.mayStart("w", 0, 2)).isTrue();
        }

        @Test
        void shouldProbeWithOneRunAfterThePause() {
            health.runFailed("w", taskOf("a"), 0);
            health.runFailed("w", taskOf("b"), 0);

            assertThat(health.mayStart("w", 0, 2_500)).isTrue();
            assertThat(health.mayStart("w", 1, 2_500)).isFalse();
        }

        @Test
        void shouldRememberWhereATaskFailedUntilItsJobFinishes() {
            health.runFailed("w", taskOf("a"), 0);
            assertThat(health.workersToAvoid(taskOf("a"))).containsExactly("w");

            health.forgetJob("a");

            assertThat(health.workersToAvoid(taskOf("a"))).isEmpty();
        }
    }

    @Nested
    final class Stalls {
        @Test
        void shouldPauseAWorkerAtOnce() {
            health.runStalled("w", taskOf("a"), 0);

            assertThat(health.mayStart("w", 0, 1)).isFalse();
        }
    }
}
