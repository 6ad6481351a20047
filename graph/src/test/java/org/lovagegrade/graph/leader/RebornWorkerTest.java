package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against orders to one incarnation of a worker that the next one carries out, since its id is the same (TWICE). */
final class RebornWorkerTest {
    private static final long SEEDS = 60;

    /** The scenario that a seed draws. */
    @FunctionalInterface
    private interface Scenario {
        RebootScenario withSeed(long seed);
    }

    private static void assertNothingViolated(Scenario scenario) {
        LongStream.range(0, SEEDS)
                .forEach(seed -> assertWithMessage("seed " + seed)
                        .that(scenario.withSeed(seed).simulate().violations.stream()
                                .filter(violation -> !violation.contains("length of the lease"))
                                .toList())
                        .isEmpty());
    }

    @Nested
    final class AcceptedStarts {
        /** Guards against a second run elsewhere of what the next incarnation has accepted and goes on with (review/6). */
        @Test
        void shouldNotBeginElsewhere() {
            assertNothingViolated(RebootScenario::withSeed);
        }

        /** Guards against a simulation in which the next incarnation never accepts what was meant for the former one. */
        @Test
        void shouldGoOnWithTheNextIncarnation() {
            int adoptedRuns = LongStream.range(0, SEEDS)
                    .mapToInt(seed -> RebootScenario.withSeed(seed).simulate().adoptedRuns())
                    .sum();

            assertThat(adoptedRuns).isAtLeast(1);
        }

        /** Guards against runs that are given up before a lease has expired that was reckoned on the former clock. */
        @Test
        void shouldNotBeginElsewhereWhileTheNextIncarnationIsCutOff() {
            assertNothingViolated(
                    seed -> RebootScenario.withSeed(seed).withCuts().withLastingRuns());
        }

        /** Guards against the same by a leader that does not know what its predecessor has sent to which incarnation. */
        @Test
        void shouldNotBeginElsewhereUnderANewLeader() {
            assertNothingViolated(seed ->
                    RebootScenario.withSeed(seed).withCuts().withLastingRuns().withNewLeaders());
        }
    }
}
