package org.lovagegrade.graph.leader;

/** Why a run was lost together with its worker. */
enum LossCause {
    /** Another incarnation of the worker has started without the former one having announced its end. */
    WORKER_CRASHED,
    /** The worker announced its end and is gone. */
    WORKER_LEFT,
    /** The worker did not answer until its lease had expired. */
    LEASE_EXPIRED,
    /** The worker answered and did not list the run. */
    NOT_LISTED
}
