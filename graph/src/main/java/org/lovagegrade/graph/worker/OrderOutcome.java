package org.lovagegrade.graph.worker;

/** What became of an order to a worker. */
public sealed interface OrderOutcome {
    /**
     * The worker has done it, now or before.
     *
     * @param clockMs the worker's clock
     */
    record Done(long clockMs) implements OrderOutcome {}

    /**
     * The worker has not done it.
     *
     * @param reason why
     */
    record Refused(OrderRefusal reason) implements OrderOutcome {}

    /** The order never left this process. */
    record NotSent() implements OrderOutcome {}

    /** The order may have been done, or may yet be. */
    record Unanswered() implements OrderOutcome {}
}
