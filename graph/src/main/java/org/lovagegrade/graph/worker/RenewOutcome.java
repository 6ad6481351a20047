package org.lovagegrade.graph.worker;

import java.util.List;

/** The outcome of a renewal. */
public sealed interface RenewOutcome {
    /**
     * The worker answered with its running and ended runs.
     *
     * @param clockMs the time on the worker's clock, in milliseconds
     * @param bornMs when this incarnation of the worker started, in milliseconds; 0 if the worker does not report it
     * @param running the running runs
     * @param ended the ended runs that have not been acknowledged, in the order of their numbers
     * @param endsComplete whether these are all of them; otherwise the worker lists the others once these are
     *     acknowledged
     */
    record Listed(long clockMs, long bornMs, List<RunView> running, List<EndedRunView> ended, boolean endsComplete)
            implements RenewOutcome {}

    /**
     * The worker refused the renewal.
     *
     * @param reason why the worker refused
     */
    record Refused(OrderRefusal reason) implements RenewOutcome {}

    /**
     * No valid answer arrived.
     *
     * @param refusedConnection whether the worker's address refused the connection
     */
    record Unanswered(boolean refusedConnection) implements RenewOutcome {}
}
