package org.lovagegrade.graph.leader;

/** Why a run was lost together with its worker. */
enum LossCause {
    /** Another incarnation of the worker has started: the former one crashed. */
    WORKER_CRASHED,
    /** The worker did not answer until its lease had expired. */
    LEASE_EXPIRED,
    /** The worker announced its end, or answered without listing the run. */
    WORKER_ANSWERED
}
