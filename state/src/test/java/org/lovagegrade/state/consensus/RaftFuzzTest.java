package org.lovagegrade.state.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RaftFuzzTest {
    private static final int STEPS = 500;
    private static final int STEPS_TO_SETTLE = 400;
    private static final int MAX_SEEDS_TO_DETECT = 3_000;

    @Property(tries = 1_000, seed = "20261204")
    void shouldStaySafeAndRecoverUnderRandomFaults(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        // given
        int size = seed % 3 == 0 ? 5 : 3;
        FuzzedGroup group = new FuzzedGroup(seed, size, FuzzedGroup.Protections.all());

        // when
        List<String> violations = group.run(STEPS);

        // then
        assertWithMessage("seed %s", seed).that(violations).isEmpty();
        assertWithMessage("seed %s", seed).that(group.settle(STEPS_TO_SETTLE)).isEmpty();
        assertThat(group.committedCommands()).isGreaterThan(0);
    }

    @Property(tries = 200, seed = "20261205")
    void shouldStayAvailableWhenReplicasAreReplacedAtNewAddressesOneAtATime(
            @ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        // given
        FuzzedGroup group = new FuzzedGroup(seed, 3, FuzzedGroup.Protections.all());
        group.run(STEPS / 5);

        for (int replaced = 0; replaced < 3; replaced++) {
            // when: a replica joins at a new address, then one of the first three is lost permanently
            group.addSpare();
            assertWithMessage("seed %s, before loss %s", seed, replaced)
                    .that(group.settle(STEPS_TO_SETTLE))
                    .isEmpty();
            group.removePermanently("s" + replaced);

            // then
            assertWithMessage("seed %s, loss %s", seed, replaced)
                    .that(group.settle(STEPS_TO_SETTLE))
                    .isEmpty();
        }
    }

    /** The same checks must detect each protection that is disabled alone. */
    @Nested
    final class Checks {
        @Test
        void shouldDetectUnsyncedVotes() {
            assertDetected(new FuzzedGroup.Protections(RaftRules.safe(), false, true, true, true));
        }

        @Test
        void shouldDetectCommitOfEarlierTermByCounting() {
            // given: the schedule that the random runs don't find
            RaftRules mutant = RaftRules.safe().withCommit((_entryTerm, _currentTerm) -> true);

            // when, then
            assertThat(new Figure8Schedule(RaftRules.safe()).committedTermsOfEntryTwo())
                    .containsExactly(3L);
            assertThat(new Figure8Schedule(mutant).committedTermsOfEntryTwo()).containsExactly(2L, 3L);
        }

        @Test
        void shouldDetectVoteOfReplicaThatLostItsDisk() {
            assertDetected(new FuzzedGroup.Protections(RaftRules.safe(), true, false, true, true));
        }

        @Test
        void shouldDetectPausedLeaderThatKeepsItsLease() {
            RaftRules rules = RaftRules.safe().withLease((_nowMs, _untilMs) -> true);
            assertDetected(new FuzzedGroup.Protections(rules, true, true, true, true));
        }

        @Test
        void shouldDetectMembershipReportedBeforeCommit() {
            assertDetected(new FuzzedGroup.Protections(RaftRules.safe(), true, true, false, true));
        }

        @Test
        void shouldDetectVoteBeforeEarlierLeasesHaveExpired() {
            assertDetected(new FuzzedGroup.Protections(RaftRules.safe(), true, true, true, false));
        }

        private void assertDetected(FuzzedGroup.Protections protections) {
            for (long seed = 0; seed < MAX_SEEDS_TO_DETECT; seed++) {
                FuzzedGroup group = new FuzzedGroup(seed, seed % 3 == 0 ? 5 : 3, protections);
                if (!group.run(STEPS).isEmpty()
                        || !group.settle(STEPS_TO_SETTLE).isEmpty()) {
                    return;
                }
            }
            assertWithMessage("seeds without a violation")
                    .that(MAX_SEEDS_TO_DETECT)
                    .isEqualTo(0);
        }
    }
}
