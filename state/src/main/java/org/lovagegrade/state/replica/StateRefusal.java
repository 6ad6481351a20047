package org.lovagegrade.state.replica;

/** Why a replica did not take a request in. */
public enum StateRefusal {
    /** Another replica leads, or none. */
    NOT_LEADER,
    /** Too many requests wait. */
    QUEUE_FULL,
    /** The request is of no known kind. */
    UNKNOWN_REQUEST
}
