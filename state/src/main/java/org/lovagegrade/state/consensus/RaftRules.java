package org.lovagegrade.state.consensus;

/**
 * The rules that tests take out one by one, to see that the checks notice.
 *
 * @param commit which entries may be committed by counting
 * @param lease whether a leader may still decide
 */
public record RaftRules(CommitRule commit, LeaseRule lease) {
    /** Says whether an entry may be committed because a quorum has it. */
    @FunctionalInterface
    public interface CommitRule {
        /**
         * Decides.
         *
         * @param entryTerm the term of the entry
         * @param currentTerm the leader's term
         * @return true if counting replicas is enough
         */
        boolean mayCommit(long entryTerm, long currentTerm);
    }

    /** Says whether a leader's lease is still good. */
    @FunctionalInterface
    public interface LeaseRule {
        /**
         * Decides.
         *
         * @param nowMs the present time in milliseconds
         * @param untilMs until when the quorum has promised not to elect another, in milliseconds
         * @return true if the lease is good
         */
        boolean isGood(long nowMs, long untilMs);
    }

    /**
     * The rules that are safe.
     *
     * @return the rules
     */
    public static RaftRules safe() {
        return new RaftRules((entryTerm, currentTerm) -> entryTerm == currentTerm, (nowMs, untilMs) -> nowMs < untilMs);
    }

    /**
     * Replaces the commit rule.
     *
     * @param rule the other rule
     * @return the changed rules
     */
    public RaftRules withCommit(CommitRule rule) {
        return new RaftRules(rule, lease);
    }

    /**
     * Replaces the lease rule.
     *
     * @param rule the other rule
     * @return the changed rules
     */
    public RaftRules withLease(LeaseRule rule) {
        return new RaftRules(commit, rule);
    }
}
