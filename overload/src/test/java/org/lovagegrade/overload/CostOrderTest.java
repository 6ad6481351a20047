package org.lovagegrade.overload;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CostOrderTest {
    private static final long REGULAR_MS = 1_000_030;
    private static final long BY_VALUE_MS = 1_000_000;
    private static final long BY_SLACK_MS = 1_000_050;

    static WorkItem item(int priority, long slackMs, long pathMs, long coreMs, long nowMs) {
        return WorkItem.of(
                "j" + priority,
                "w",
                priority,
                Objective.within(10_000).from(nowMs + slackMs + pathMs - 10_000),
                RemainingWork.of(pathMs, coreMs));
    }

    static int compare(WorkItem first, WorkItem second, long nowMs) {
        return CostOrder.ascending().compare(CostOfDelay.of(first, nowMs), CostOfDelay.of(second, nowMs));
    }

    @Nested
    final class Starvation {
        private final WorkItem pressing = item(2, 300, 1_000, 100_000, BY_SLACK_MS);
        private final WorkItem fresh = item(0, 5_000, 1_000, 1_000, BY_SLACK_MS);

        /** Guards against an endless stream of urgent work that lets all other work miss its objective. */
        @Test
        void shouldPutWorkAboutToMissItsObjectiveFirstInAPartOfTheTime() {
            assertThat(compare(pressing, fresh, BY_SLACK_MS)).isLessThan(0);
            assertThat(compare(pressing, fresh, BY_VALUE_MS)).isLessThan(0);
            assertThat(compare(pressing, fresh, REGULAR_MS)).isGreaterThan(0);
        }

        /** Guards against a wait that other pressing work of a higher priority makes unbounded. */
        @Test
        void shouldOrderPressingWorkBySlackWhateverThePriority() {
            WorkItem urgent = item(0, 1_000, 1_000, 1_000, BY_SLACK_MS);

            assertThat(compare(pressing, urgent, BY_SLACK_MS)).isLessThan(0);
        }
    }

    @Nested
    final class Groups {
        /** Guards against stopping work that is nearly done in favour of work that has not begun. */
        @Test
        void shouldPutStartedWorkBeforeUntouchedOfTheSamePriority() {
            WorkItem untouched = item(1, 5_000, 1_000, 1_000, REGULAR_MS);
            WorkItem started = WorkItem.of(
                    "s",
                    "w",
                    1,
                    untouched.objective(),
                    RemainingWork.of(1_000, 9_000).having(1));

            assertThat(compare(started, untouched, REGULAR_MS)).isLessThan(0);
        }

        /** Guards against a workspace that gets more by submitting more than its share. */
        @Test
        void shouldPutWorkBeyondTheShareBehindAllOthersOfItsGroup() {
            WorkItem beyond = item(0, 5_000, 1_000, 1_000, REGULAR_MS).beyondShare();

            assertThat(compare(beyond, item(2, 5_000, 1_000, 99_000, REGULAR_MS), REGULAR_MS))
                    .isGreaterThan(0);
            assertThat(compare(beyond, item(2, -3_000, 1_000, 1_000, REGULAR_MS), REGULAR_MS))
                    .isLessThan(0);
        }
    }

    @Nested
    final class RunTimes {
        /** Guards against one queue's wrong estimates, or one odd run, upsetting what is judged in time. */
        @Test
        void shouldMeasureEachQueueWithinBounds() {
            RunTimeRatios ratios = new RunTimeRatios();
            for (int run = 0; run < 500; run++) {
                ratios.completed("slow", 100, 200);
                ratios.completed("stuck", 100, 100_000);
            }
            ratios.completed("new", 100, 1_000);

            assertThat(ratios.of("slow")).isWithin(0.1).of(2);
            assertThat(ratios.of("stuck")).isEqualTo(3.0);
            assertThat(ratios.of("new")).isWithin(0.01).of(2);
            assertThat(ratios.of("unknown")).isEqualTo(1.0);
        }
    }
}
