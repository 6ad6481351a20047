package org.lovagegrade.state.replica;

/** Why a replica refused a request. */
public enum StateRefusal {
    /** This replica does not lead. */
    NOT_LEADER,
    /** The request queue is full. */
    QUEUE_FULL,
    /** The kind of the request is unknown. */
    UNKNOWN_REQUEST
}
