package org.lovagegrade.state.consensus;

/**
 * Safety rules of Raft that tests disable one at a time, to verify that their checks detect the violation.
 *
 * @param commit which entries a leader may commit by counting replicas
 * @param lease whether a leader's lease is still valid
 */
public record RaftRules(CommitRule commit, LeaseRule lease) {
    /** Decides whether a leader may commit an entry because a quorum has stored it. */
    @FunctionalInterface
    public interface CommitRule {
        /**
         * Whether counting replicas is enough to commit an entry.
         *
         * @param entryTerm the term of the entry
         * @param currentTerm the leader's term
         * @return true if the entry may be committed
         */
        boolean mayCommit(long entryTerm, long currentTerm);
    }

    /** Decides whether a leader's lease is still valid. */
    @FunctionalInterface
    public interface LeaseRule {
        /**
         * Whether the lease is valid.
         *
         * @param nowMs the current time in milliseconds
         * @param expiresAtMs until when the quorum has promised to elect no other leader, in milliseconds
         * @return true if the lease is valid
         */
        boolean isValid(long nowMs, long expiresAtMs);
    }

    /**
     * The rules that production uses: a leader commits only entries of its own term by counting, and its lease expires.
     *
     * @return the rules
     */
    public static RaftRules safe() {
        return new RaftRules(
                (entryTerm, currentTerm) -> entryTerm == currentTerm, (nowMs, expiresAtMs) -> nowMs < expiresAtMs);
    }

    /**
     * Replaces the commit rule.
     *
     * @param rule the new rule
     * @return the changed rules
     */
    public RaftRules withCommit(CommitRule rule) {
        return new RaftRules(rule, lease);
    }

    /**
     * Replaces the lease rule.
     *
     * @param rule the new rule
     * @return the changed rules
     */
    public RaftRules withLease(LeaseRule rule) {
        return new RaftRules(commit, rule);
    }
}
