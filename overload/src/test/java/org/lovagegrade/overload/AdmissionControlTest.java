package org.lovagegrade.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A fleet of 100 cores; an item takes 1 s on 10 cores, is in time within 4 s and useful within 12 s. */
final class AdmissionControlTest {
    private static final long NOW_MS = 1_000_000;
    private static final RemainingWork WORK = RemainingWork.of(1_000, 10_000);
    private static final Objective OBJECTIVE = Objective.within(4_000).from(NOW_MS);

    private final Backlog backlog = new Backlog();
    private final ServiceRate rate = new ServiceRate();
    private int nextItem;

    @BeforeEach
    void setCapacity() {
        rate.setCapacity(100_000);
    }

    private WorkItem item(int priority, String workspace) {
        return WorkItem.of("item" + nextItem++, workspace, priority, OBJECTIVE, WORK);
    }

    /** Adds work that waits and is in time for as long as the test looks. */
    private void addWaiting(int priority, String workspace, long coreMs) {
        backlog.put(WorkItem.of(
                "item" + nextItem++,
                workspace,
                priority,
                Objective.within(1_000_000).from(NOW_MS),
                RemainingWork.of(1_000, coreMs)));
    }

    private AdmissionDecision decide(WorkItem item) {
        return AdmissionControl.decide(item, backlog, rate, NOW_MS);
    }

    private AdmissionDecision.Refused refused(WorkItem item) {
        AdmissionDecision decision = decide(item);
        assertThat(decision).isInstanceOf(AdmissionDecision.Refused.class);
        return (AdmissionDecision.Refused) decision;
    }

    private void assertAccepted(WorkItem item) {
        assertThat(decide(item)).isInstanceOf(AdmissionDecision.Accepted.class);
    }

    @Nested
    final class AmpleCapacity {
        /** Guards against refusals that are not for lack of room. */
        @Test
        void shouldAcceptAndExpectAnImmediateStart() {
            assertThat(decide(item(0, "a"))).isEqualTo(new AdmissionDecision.Accepted(NOW_MS, NOW_MS + 1_000));
        }

        /** Guards against refusing for ever what is too long for its objective by its own estimates. */
        @Test
        void shouldAcceptWhatIsUselessWithoutAnyWait() {
            addWaiting(0, "a", 100_000_000);

            assertAccepted(WorkItem.of("x", "a", 0, Objective.within(100).from(NOW_MS), WORK));
        }
    }

    @Nested
    final class AllAtTwiceTheCapacity {
        /** Guards against refusing work that is late but useful: 8 s of work ahead end it after 9 s. */
        @Test
        void shouldAcceptWhatWillBeLateButUseful() {
            addWaiting(0, "a", 800_000);

            assertThat(decide(item(0, "a"))).isEqualTo(new AdmissionDecision.Accepted(NOW_MS + 8_000, NOW_MS + 9_000));
        }

        /** Guards against accepting work that occupies capacity after it has become useless. */
        @Test
        void shouldRefuseWhatWouldEndUseless() {
            addWaiting(0, "a", 2_000_000);

            AdmissionDecision.Refused refused = refused(item(0, "a"));

            assertThat(refused.reason()).isEqualTo(RefusalReason.FLEET_FULL);
            assertThat(refused.coreMsAhead()).isEqualTo(2_000_000);
            assertThat(refused.retryAfterMs()).isAtLeast(9_000);
            assertThat(refused.retryAfterMs()).isAtMost(13_500);
        }

        /** Guards against late work that is accepted and then starved by work that arrives in time. */
        @Test
        void shouldCountWorkThatIsExpectedMeanwhileAheadOfLateWork() {
            addWaiting(0, "a", 800_000);
            for (long atMs = NOW_MS - 10_000; atMs < NOW_MS; atMs += 10) {
                rate.arrived(0, 1_500, atMs);
            }

            refused(item(0, "a"));
        }

        /** Guards against urgent work that is refused because less urgent work waits. */
        @Test
        void shouldNotCountLowerPrioritiesAheadOfWorkInTime() {
            addWaiting(2, "a", 10_000_000);

            assertAccepted(item(0, "a"));
        }
    }

    @Nested
    final class OneHotWorkspace {
        /** Guards against one workspace whose excess gets the others refused. */
        @Test
        void shouldRefuseTheWorkBeyondTheShareOnly() {
            backlog.put(WorkItem.of(
                            "hot",
                            "hot",
                            0,
                            Objective.within(1_000_000).from(NOW_MS),
                            RemainingWork.of(1_000, 10_000_000))
                    .beyondShare());

            assertAccepted(item(0, "other"));
            refused(item(0, "hot").beyondShare());
        }

        /** Guards against accepting what the limit of its workspace holds back until it is useless. */
        @Test
        void shouldRefuseForTheLimitOfTheWorkspace() {
            backlog.setLimit("small", 10_000);
            addWaiting(0, "small", 200_000);

            assertThat(refused(item(0, "small")).reason()).isEqualTo(RefusalReason.WORKSPACE_FULL);
            assertAccepted(item(0, "other"));
        }
    }

    @Nested
    final class LargeStepsBehindSmallOnes {
        /** Guards against small work that is refused because a gang of its priority waits for room. */
        @Test
        void shouldLetSmallWorkPassAGangOfTheSamePriority() {
            backlog.put(WorkItem.of(
                    "gang",
                    "a",
                    1,
                    Objective.within(1_000_000).from(NOW_MS),
                    RemainingWork.of(5_000, 5_000_000).asGang(50)));

            assertAccepted(item(1, "a"));
            refused(WorkItem.of("gang2", "a", 1, OBJECTIVE, WORK.asGang(10)));
        }
    }

    @Nested
    final class CapacityLost {
        /** Guards against decisions by a capacity that is gone, when a domain or a third of the workers is lost. */
        @Test
        void shouldFollowTheCapacityAtOnce() {
            addWaiting(0, "a", 900_000);
            assertAccepted(item(0, "a"));

            rate.setCapacity(67_000);

            refused(item(0, "a"));
        }

        /** Guards against refusals by a new leader that has not heard of its workers yet. */
        @Test
        void shouldAcceptWhileNoWorkerIsKnown() {
            rate.setCapacity(0);
            addWaiting(0, "a", 100_000_000);

            assertAccepted(item(0, "a"));
        }
    }

    @Nested
    final class NewLeader {
        /** Guards against estimates that are empty after an election being taken for a fleet that stands still. */
        @Test
        void shouldUseTheCapacityUntilWorkHasBeenSeenLeaving() {
            assertThat(rate.coreMsPerMs(NOW_MS)).isEqualTo(100.0);
        }

        /** Guards against a rate that ignores what is wasted while work waits. */
        @Test
        void shouldMeasureWhatLeavesWhileWorkWaits() {
            for (long atMs = 0; atMs <= 60_000; atMs += 250) {
                rate.left(17_500, true, atMs);
            }

            assertThat(rate.coreMsPerMs(60_000)).isWithin(8).of(76);
        }

        /** Guards against an idle fleet that looks slow. */
        @Test
        void shouldNotMeasureWhileNothingWaits() {
            for (long atMs = 0; atMs <= 60_000; atMs += 250) {
                rate.left(100, false, atMs);
            }

            assertThat(rate.coreMsPerMs(60_000)).isEqualTo(100.0);
        }
    }

    @Nested
    final class ReturnOfRefusedCallers {
        /** Guards against all refused callers returning at the same moment. */
        @Test
        void shouldSpreadTheTimesOfReturn() {
            addWaiting(0, "a", 2_000_000);
            Set<Long> times = new HashSet<>();
            for (int caller = 0; caller < 100; caller++) {
                times.add(refused(item(0, "a")).retryAfterMs());
            }

            assertThat(times.size()).isAtLeast(50);
        }

        /** Guards against a backlog that keeps work which no longer waits, so that refusals never end. */
        @Test
        void shouldAcceptOnceTheBacklogHasDrained() {
            for (int waiting = 0; waiting < 200; waiting++) {
                addWaiting(0, "a", 10_000);
            }
            refused(item(0, "a"));
            for (int waiting = 0; waiting <= 200; waiting++) {
                backlog.remove("item" + waiting);
            }

            assertThat(backlog.coreMs()).isEqualTo(0);
            assertThat(decide(item(0, "a"))).isEqualTo(new AdmissionDecision.Accepted(NOW_MS, NOW_MS + 1_000));
        }
    }
}
