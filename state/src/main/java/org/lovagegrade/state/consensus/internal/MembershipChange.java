package org.lovagegrade.state.consensus.internal;

import java.util.List;
import java.util.Optional;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.wire.proto.MembershipProto;

/**
 * The next single change on the way of a joiner to its vote: learner first, then the lost identity of its name leaves,
 * then the vote. The voters stay an odd number where they can: an even one tolerates no more losses, and a group cut into
 * halves would have no majority on either side. A replica that would make them even stays a learner until another comes.
 */
public final class MembershipChange {
    private MembershipChange() {}

    /**
     * Finds the next change.
     *
     * @param present the membership in force, committed
     * @param joiner the id of the replica that asks to be taken in
     * @param isCaughtUp whether the joiner's log is close to the leader's
     * @param isAnotherReady whether another learner without a vote is caught up as well
     * @return the next membership, or empty if there is nothing to change now
     */
    public static Optional<MembershipProto> next(
            MembershipProto present, String joiner, boolean isCaughtUp, boolean isAnotherReady) {
        String name = ReplicaId.parse(joiner).name();
        if (present.getVotersList().contains(joiner)) {
            return Optional.empty();
        }
        if (!present.getLearnersList().contains(joiner)) {
            return Optional.of(MembershipProto.newBuilder()
                    .addAllVoters(present.getVotersList())
                    .addAllLearners(without(name, present.getLearnersList()))
                    .addLearners(joiner)
                    .build());
        }
        if (!isCaughtUp) {
            return Optional.empty();
        }
        List<String> otherVoters = without(name, present.getVotersList());
        if (otherVoters.size() < present.getVotersCount()) {
            return Optional.of(MembershipProto.newBuilder()
                    .addAllVoters(otherVoters)
                    .addAllLearners(present.getLearnersList())
                    .build());
        }
        boolean wouldBeEven = (present.getVotersCount() + 1) % 2 == 0;
        if (wouldBeEven && !isAnotherReady) {
            return Optional.empty();
        }
        return Optional.of(MembershipProto.newBuilder()
                .addAllVoters(present.getVotersList())
                .addVoters(joiner)
                .addAllLearners(without(name, present.getLearnersList()))
                .build());
    }

    private static List<String> without(String name, List<String> ids) {
        return ids.stream()
                .filter(id -> !ReplicaId.parse(id).name().equals(name))
                .toList();
    }
}
