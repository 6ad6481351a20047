package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against orders that a worker, or the next one under its id, carries out seconds after they went unanswered. */
final class LateOrderTest {
    private static void assertNoneViolated(String invariant, long... seeds) {
        for (long seed : seeds) {
            SimulatedCell cell = LateOrderScenario.simulate(seed);

            assertWithMessage("seed " + seed).that(cell.violationsOf(invariant)).isEmpty();
        }
    }

    @Nested
    final class Capacity {
        /** Guards against starts beside a run of a former incarnation whose stop is confirmed but takes its time. */
        @Test
        void shouldBeKeptWhileALateRunIsBeingStopped() {
            assertNoneViolated("capacity", 34);
        }

        /** Guards against a late start that was stopped on a worker, which has forgotten the stop at its next restart. */
        @Test
        void shouldBeKeptWhenAWorkerRestartsTwiceBeforeALateStartArrives() {
            assertNoneViolated("capacity", 26, 30);
        }

        @Test
        void shouldBeKeptOnDrawnMixes() {
            assertNoneViolated("capacity", LongStream.range(100, 132).toArray());
        }
    }

    @Nested
    final class Runs {
        /** Guards against late starts that the next incarnation begins while their tasks run elsewhere (TWICE, review/7). */
        @Test
        void shouldNotBeginTwiceAtATime() {
            assertNoneViolated("one run at a time", 78, 90, 228);
        }

        /** Guards against the same where the worker is also cut off, so that its next incarnation can't be asked. */
        @Test
        void shouldNotBeginTwiceAtATimeWhenTheNextIncarnationIsCutOff() {
            assertNoneViolated("one run at a time", 86, 118, 226);
        }
    }

    @Nested
    final class Leases {
        /** Guards against the same where no renewal has failed yet. */
        @Test
        void shouldNotBeReckonedOnTheClockOfAFormerIncarnationBeforeARenewalFails() {
            assertNoneViolated("length of the lease", 66, 94, 164, 190);
        }

        /** Guards against a worker that, once restarted, keeps its runs for as long as its former incarnation was up. */
        @Test
        void shouldNotBeReckonedOnTheClockOfAFormerIncarnation() {
            assertNoneViolated("length of the lease", 4, 8, 10, 12, 16, 18, 78, 358, 368);
        }
    }
}
