package org.lovagegrade.graph.worker;

/** Why a worker did not carry out an order. */
public enum OrderRefusal {
    /** The worker has seen a higher fence. */
    FENCED,
    /** This run, or a later one, has been stopped or has ended there. */
    OUTDATED,
    /** The lease that came with the order has passed. */
    TOO_LATE,
    /** The task does not fit. */
    NO_ROOM,
    /** The adviser's ticket is missing or out of date. */
    NO_TICKET,
    /** Another life of the worker answers at this address. */
    OTHER_LIFE,
    /** The worker is not well, and has done nothing. */
    UNHEALTHY,
    /** The worker can't read the order. */
    INVALID
}
