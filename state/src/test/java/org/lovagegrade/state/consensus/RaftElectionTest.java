package org.lovagegrade.state.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;
import org.lovagegrade.wire.proto.RaftMessageProto;
import org.lovagegrade.wire.proto.VoteRequestProto;

final class RaftElectionTest {
    private static final RaftTimings TIMINGS = RaftTimings.of(75, 600);
    private static final List<String> VOTERS = Stream.of("a", "b", "c")
            .map(name -> ReplicaId.first(name).toString())
            .toList();
    private static final long DIED_MS = 10_000;
    private static final long STARTED_MS = 10_400;

    private static RaftBuilder replica(String name) {
        MemoryStorage storage = new MemoryStorage();
        storage.saveHardState(HardStateProto.newBuilder().setTerm(1).build());
        storage.append(LogEntryProto.newBuilder()
                .setIndex(1)
                .setTerm(1)
                .setMembership(MembershipProto.newBuilder().addAllVoters(VOTERS))
                .build());
        storage.sync();
        return Raft.replica(ReplicaId.first(name), storage)
                .ofGroup(1)
                .timedBy(TIMINGS)
                .randomizedBy(bound -> bound - 1);
    }

    /** Lets time pass and tells when the replica first asks for votes. */
    private static long asksAtMs(Raft raft, long fromMs) {
        for (long nowMs = fromMs; nowMs < fromMs + 10_000; nowMs++) {
            raft.tick(nowMs);
            if (raft.takeMessages().stream().anyMatch(RaftMessageProto::hasVoteRequest)) {
                return nowMs;
            }
        }
        return Long.MAX_VALUE;
    }

    @Nested
    final class AfterALossOfAllReplicas {
        @Test
        void shouldCountTheTimeThatTheStartTook() {
            // given
            Raft raft = replica("a").noLeaderContactSince(DIED_MS).startingAt(STARTED_MS);

            // when
            long asksAtMs = asksAtMs(raft, STARTED_MS);

            // then: not before the leases of the former life have run out, and soon after
            assertThat(asksAtMs).isAtLeast(DIED_MS + TIMINGS.electionTimeoutMs());
            assertThat(asksAtMs).isAtMost(DIED_MS + TIMINGS.electionTimeoutMs() + 100);
        }

        @Test
        void shouldVoteOnceTheLeasesOfTheFormerLifeHaveRunOut() {
            // given
            Raft raft = replica("b").noLeaderContactSince(DIED_MS).startingAt(STARTED_MS);
            RaftMessageProto request = RaftMessageProto.newBuilder()
                    .setGroup(1)
                    .setFrom(VOTERS.get(0))
                    .setTo(VOTERS.get(1))
                    .setTerm(2)
                    .setVoteRequest(
                            VoteRequestProto.newBuilder().setLastIndex(1).setLastTerm(1))
                    .build();

            // when
            raft.receive(request, DIED_MS + TIMINGS.electionTimeoutMs() - 1);
            List<RaftMessageProto> early = raft.takeMessages();
            raft.receive(request, DIED_MS + TIMINGS.electionTimeoutMs());
            List<RaftMessageProto> late = raft.takeMessages();

            // then
            assertThat(early).isEmpty();
            assertThat(late.get(0).getVoteReply().getGranted()).isTrue();
        }

        @Test
        void shouldAskAgainSoonWhereOthersStartedLater() {
            // given
            Raft raft = replica("a").noLeaderContactSince(DIED_MS).startingAt(STARTED_MS);
            long firstMs = asksAtMs(raft, STARTED_MS);

            // when: nobody has answered
            long secondMs = asksAtMs(raft, firstMs + 1);

            // then
            assertThat(secondMs - firstMs).isAtMost(TIMINGS.electionTimeoutMs() / 2);
        }
    }

    @Nested
    final class AfterALeaderFellSilent {
        @Test
        void shouldStandOneAfterTheOther() {
            // given: replicas that heard the leader at the same moment
            long first = asksAtMs(replica("a").startingAt(DIED_MS), DIED_MS);
            long second = asksAtMs(replica("b").startingAt(DIED_MS), DIED_MS);
            long third = asksAtMs(replica("c").startingAt(DIED_MS), DIED_MS);

            // then: far enough apart for a vote of the first to be known to the next
            assertThat(second - first).isAtLeast(50);
            assertThat(third - second).isAtLeast(50);
            assertThat(first - DIED_MS).isAtMost(700);
        }
    }
}
