package org.lovagegrade.state.consensus.internal;

import java.util.List;
import java.util.Optional;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.wire.proto.MembershipProto;

/**
 * Computes the next single-server membership change. A joining replica first becomes a learner; once it has caught up,
 * the voter that had the same name before (another incarnation) is removed, and then the learner is promoted to a
 * voter.
 *
 * <p>The number of voters is kept odd where possible: an even number tolerates no more failures, and if the network is
 * partitioned into halves, neither half has a majority. A replica that would make the number even stays a learner until
 * another one has caught up, or until a voter has been unresponsive for so long that it is presumed permanently lost.
 */
public final class MembershipChange {
    /** A majority of two voters is both of them, so neither can be removed while it is unresponsive. */
    private static final int MAX_VOTERS_WITHOUT_SPARE = 2;

    private MembershipChange() {}

    /**
     * Returns the next change that a joining replica needs.
     *
     * @param current the membership in force, committed
     * @param joiner the id of the joining replica
     * @param isCaughtUp whether the joiner's log is close to the leader's
     * @param isAnotherCaughtUp whether another learner has caught up too
     * @return the next membership, or empty if there is nothing to change now
     */
    public static Optional<MembershipProto> next(
            MembershipProto current, String joiner, boolean isCaughtUp, boolean isAnotherCaughtUp) {
        String name = ReplicaId.parse(joiner).name();
        if (current.getVotersList().contains(joiner)) {
            return Optional.empty();
        }
        if (!current.getLearnersList().contains(joiner)) {
            return Optional.of(MembershipProto.newBuilder()
                    .addAllVoters(current.getVotersList())
                    .addAllLearners(withoutName(name, current.getLearnersList()))
                    .addLearners(joiner)
                    .build());
        }
        if (!isCaughtUp) {
            return Optional.empty();
        }
        List<String> otherVoters = withoutName(name, current.getVotersList());
        if (otherVoters.size() < current.getVotersCount()) {
            return Optional.of(MembershipProto.newBuilder()
                    .addAllVoters(otherVoters)
                    .addAllLearners(current.getLearnersList())
                    .build());
        }
        boolean wouldBeEven = (current.getVotersCount() + 1) % 2 == 0;
        if (wouldBeEven && !isAnotherCaughtUp) {
            return Optional.empty();
        }
        return Optional.of(MembershipProto.newBuilder()
                .addAllVoters(current.getVotersList())
                .addVoters(joiner)
                .addAllLearners(withoutName(name, current.getLearnersList()))
                .build());
    }

    /**
     * Returns the next change that replaces an unresponsive voter by a learner. The learner is promoted first, so that
     * committed entries are never on fewer replicas than before, and then the unresponsive voter is removed.
     *
     * @param current the membership in force, committed
     * @param unresponsive the voters that have been unresponsive for so long that they are presumed permanently lost
     * @param caughtUp the learners that have caught up
     * @return the next membership, or empty if there is nothing to replace
     */
    public static Optional<MembershipProto> replaceUnresponsive(
            MembershipProto current, List<String> unresponsive, List<String> caughtUp) {
        if (unresponsive.isEmpty()) {
            return Optional.empty();
        }
        boolean hasSpareVoter =
                current.getVotersCount() > MAX_VOTERS_WITHOUT_SPARE && current.getVotersCount() % 2 == 0;
        if (hasSpareVoter) {
            String lost = unresponsive.get(0);
            return Optional.of(MembershipProto.newBuilder()
                    .addAllVoters(current.getVotersList().stream()
                            .filter(voter -> !voter.equals(lost))
                            .toList())
                    .addAllLearners(current.getLearnersList())
                    .build());
        }
        return caughtUp.stream()
                .findFirst()
                .map(learner -> MembershipProto.newBuilder()
                        .addAllVoters(current.getVotersList())
                        .addVoters(learner)
                        .addAllLearners(current.getLearnersList().stream()
                                .filter(other -> !other.equals(learner))
                                .toList())
                        .build());
    }

    private static List<String> withoutName(String name, List<String> ids) {
        return ids.stream()
                .filter(id -> !ReplicaId.parse(id).name().equals(name))
                .toList();
    }
}
