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
    private static final long STOPPED_MS = 10_000;
    private static final long RESTARTED_MS = 10_400;

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

    /** Advances the time until the replica requests votes, and returns that time. */
    private static long voteRequestAtMs(Raft raft, long fromMs) {
        for (long nowMs = fromMs; nowMs < fromMs + 10_000; nowMs++) {
            raft.tick(nowMs);
            if (raft.takeMessages().stream().anyMatch(RaftMessageProto::hasVoteRequest)) {
                return nowMs;
            }
        }
        return Long.MAX_VALUE;
    }

    @Nested
    final class AfterRestartOfAllReplicas {
        @Test
        void shouldCountStartupTimeTowardsElectionTimeout() {
            // given
            Raft raft = replica("a").noLeaderContactSince(STOPPED_MS).startingAt(RESTARTED_MS);

            // when
            long voteRequestAtMs = voteRequestAtMs(raft, RESTARTED_MS);

            // then: not before the leases that it granted before the restart have expired, and soon after
            assertThat(voteRequestAtMs).isAtLeast(STOPPED_MS + TIMINGS.electionTimeoutMs());
            assertThat(voteRequestAtMs).isAtMost(STOPPED_MS + TIMINGS.electionTimeoutMs() + 100);
        }

        @Test
        void shouldVoteOnlyWhenLeasesFromBeforeRestartHaveExpired() {
            // given
            Raft raft = replica("b").noLeaderContactSince(STOPPED_MS).startingAt(RESTARTED_MS);
            RaftMessageProto request = RaftMessageProto.newBuilder()
                    .setGroup(1)
                    .setFrom(VOTERS.get(0))
                    .setTo(VOTERS.get(1))
                    .setTerm(2)
                    .setVoteRequest(
                            VoteRequestProto.newBuilder().setLastIndex(1).setLastTerm(1))
                    .build();

            // when
            raft.receive(request, STOPPED_MS + TIMINGS.electionTimeoutMs() - 1);
            List<RaftMessageProto> early = raft.takeMessages();
            raft.receive(request, STOPPED_MS + TIMINGS.electionTimeoutMs());
            List<RaftMessageProto> late = raft.takeMessages();

            // then
            assertThat(early).isEmpty();
            assertThat(late.get(0).getVoteReply().getGranted()).isTrue();
        }

        @Test
        void shouldRetryPreVoteSoonWhenPeersStartedLater() {
            // given
            Raft raft = replica("a").noLeaderContactSince(STOPPED_MS).startingAt(RESTARTED_MS);
            long firstMs = voteRequestAtMs(raft, RESTARTED_MS);

            // when: no replica has answered
            long secondMs = voteRequestAtMs(raft, firstMs + 1);

            // then
            assertThat(secondMs - firstMs).isAtMost(TIMINGS.electionTimeoutMs() / 2);
        }
    }

    @Nested
    final class AfterLeaderFailure {
        @Test
        void shouldCampaignOneAfterTheOther() {
            // given: replicas that had contact with the leader at the same time
            long first = voteRequestAtMs(replica("a").startingAt(STOPPED_MS), STOPPED_MS);
            long second = voteRequestAtMs(replica("b").startingAt(STOPPED_MS), STOPPED_MS);
            long third = voteRequestAtMs(replica("c").startingAt(STOPPED_MS), STOPPED_MS);

            // then: far enough apart for the next replica to receive the vote request of the one before
            assertThat(second - first).isAtLeast(50);
            assertThat(third - second).isAtLeast(50);
            assertThat(first - STOPPED_MS).isAtMost(700);
        }
    }
}
