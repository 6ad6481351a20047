package org.lovagegrade.graph.worker;

/** Why a worker did not carry out an order. */
public enum OrderRefusal {
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** This run, or a later one of its task, has been stopped or has ended on the worker. */
    OUTDATED,
    /** The lease that the order carries has expired. */
    TOO_LATE,
    /** The worker's free capacity does not suffice for the task. */
    NO_ROOM,
    /** The adviser's ticket is missing or has expired. */
    NO_TICKET,
    /** Another incarnation of the worker answers at this address. */
    OTHER_LIFE,
    /** The worker is unhealthy and has not carried out the order. */
    UNHEALTHY,
    /** The worker cannot parse the order. */
    INVALID
}
