package org.lovagegrade.state.consensus.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.MembershipProto;

final class MembershipChangeTest {
    private static MembershipProto membership(List<String> voters, String... learners) {
        return MembershipProto.newBuilder()
                .addAllVoters(voters)
                .addAllLearners(List.of(learners))
                .build();
    }

    @Nested
    final class UnresponsiveVoters {
        private final MembershipProto current = membership(List.of("a#1", "b#1", "c#1"), "d#1");

        @Test
        void shouldBeRemovedAfterCaughtUpLearnerIsPromoted() {
            MembershipProto four = MembershipChange.replaceUnresponsive(current, List.of("c#1"), List.of("d#1"))
                    .orElseThrow();
            assertThat(four.getVotersList()).containsExactly("a#1", "b#1", "c#1", "d#1");
            assertThat(four.getLearnersList()).isEmpty();

            MembershipProto three = MembershipChange.replaceUnresponsive(four, List.of("c#1"), List.of())
                    .orElseThrow();
            assertThat(three.getVotersList()).containsExactly("a#1", "b#1", "d#1");
        }

        @Test
        void shouldStayWhenNoLearnerIsCaughtUp() {
            assertThat(MembershipChange.replaceUnresponsive(current, List.of("c#1"), List.of()))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void shouldStayInGroupOfTwo() {
            assertThat(MembershipChange.replaceUnresponsive(
                            membership(List.of("a#1", "b#1")), List.of("b#1"), List.of()))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void shouldCauseNoChangeWhenThereAreNone() {
            assertThat(MembershipChange.replaceUnresponsive(current, List.of(), List.of("d#1")))
                    .isEqualTo(Optional.empty());
        }
    }

    @Nested
    final class OddNumberOfVoters {
        private final List<String> three = List.of("a#1", "b#1", "c#1");

        @Test
        void shouldKeepFourthReplicaAsLearner() {
            assertThat(MembershipChange.next(membership(three, "d#1"), "d#1", true, false))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void shouldPromoteTwoLearnersOneAtATime() {
            MembershipProto four = MembershipChange.next(membership(three, "d#1", "e#1"), "d#1", true, true)
                    .orElseThrow();
            assertThat(four.getVotersCount()).isEqualTo(4);

            MembershipProto five =
                    MembershipChange.next(four, "e#1", true, false).orElseThrow();
            assertThat(five.getVotersCount()).isEqualTo(5);
        }

        @Test
        void shouldReplaceLostIncarnationByAnyCaughtUpLearner() {
            MembershipProto two = MembershipChange.next(membership(three, "c#2", "d#1"), "c#2", true, true)
                    .orElseThrow();
            assertThat(two.getVotersList()).containsExactly("a#1", "b#1");

            MembershipProto replaced =
                    MembershipChange.next(two, "d#1", true, true).orElseThrow();
            assertThat(replaced.getVotersList()).containsExactly("a#1", "b#1", "d#1");
            assertThat(MembershipChange.next(replaced, "c#2", true, false)).isEqualTo(Optional.empty());
        }
    }
}
