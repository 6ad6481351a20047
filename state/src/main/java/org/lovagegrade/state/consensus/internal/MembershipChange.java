package org.lovagegrade.state.consensus.internal;

import java.util.List;
import java.util.Optional;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.wire.proto.MembershipProto;

/**
 * The next single change on the way of a joiner to its vote: learner first, then the lost identity of its name leaves,
 * then the vote. The voters stay an odd number where they can: an even one tolerates no more losses, and a group cut into
 * halves would have no majority on either side. A replica that would make them even stays a learner until another comes,
 * or until a voter is silent for so long that it may be gone for good.
 */
public final class MembershipChange {
    /** A group of two needs both. */
    private static final int FEWEST_WITH_A_SPARE_VOTE = 2;

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

    /**
     * Finds the next change that lets a learner take the place of a voter that is silent: the learner gets its vote first,
     * so that at no time fewer replicas hold what is committed, then the silent voter leaves.
     *
     * @param present the membership in force, committed
     * @param silent the voters that have been silent for so long that they may be gone for good
     * @param ready the learners that are caught up
     * @return the next membership, or empty if there is nothing to replace
     */
    public static Optional<MembershipProto> replacing(
            MembershipProto present, List<String> silent, List<String> ready) {
        if (silent.isEmpty()) {
            return Optional.empty();
        }
        boolean hasOneTooMany =
                present.getVotersCount() > FEWEST_WITH_A_SPARE_VOTE && present.getVotersCount() % 2 == 0;
        if (hasOneTooMany) {
            String gone = silent.get(0);
            return Optional.of(MembershipProto.newBuilder()
                    .addAllVoters(present.getVotersList().stream()
                            .filter(voter -> !voter.equals(gone))
                            .toList())
                    .addAllLearners(present.getLearnersList())
                    .build());
        }
        return ready.stream()
                .findFirst()
                .map(learner -> MembershipProto.newBuilder()
                        .addAllVoters(present.getVotersList())
                        .addVoters(learner)
                        .addAllLearners(present.getLearnersList().stream()
                                .filter(other -> !other.equals(learner))
                                .toList())
                        .build());
    }

    private static List<String> without(String name, List<String> ids) {
        return ids.stream()
                .filter(id -> !ReplicaId.parse(id).name().equals(name))
                .toList();
    }
}
