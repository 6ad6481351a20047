package org.lovagegrade.graph.worker;

/** The outcome of an order to a worker. */
public sealed interface OrderOutcome {
    /**
     * The worker has carried out the order, now or earlier.
     *
     * @param clockMs the time on the worker's clock, in milliseconds
     */
    record Done(long clockMs) implements OrderOutcome {}

    /**
     * The worker has not carried out the order.
     *
     * @param reason why the worker refused
     */
    record Refused(OrderRefusal reason) implements OrderOutcome {}

    /** The order never left this process. */
    record NotSent() implements OrderOutcome {}

    /** No valid answer arrived: the worker may have carried out the order, or may still do so. */
    record Unanswered() implements OrderOutcome {}
}
