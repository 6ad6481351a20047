package org.lovagegrade.graph.worker;

import java.util.List;

/** What became of a renewal. */
public sealed interface RenewOutcome {
    /**
     * The worker answered with its lists.
     *
     * @param clockMs the worker's clock
     * @param bornMs when this life of the worker began; 0 if it does not say
     * @param running what runs
     * @param ended what has ended and was not taken note of
     */
    record Listed(long clockMs, long bornMs, List<RunView> running, List<EndedRunView> ended) implements RenewOutcome {}

    /**
     * The worker refused.
     *
     * @param reason why
     */
    record Refused(OrderRefusal reason) implements RenewOutcome {}

    /**
     * No answer came.
     *
     * @param refusedConnection whether nothing listens at the worker's address
     */
    record Unanswered(boolean refusedConnection) implements RenewOutcome {}
}
