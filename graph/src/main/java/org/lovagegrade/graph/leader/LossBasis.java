package org.lovagegrade.graph.leader;

/** What shows that a run is over although its worker has listed no end of it. */
enum LossBasis {
    /** The worker listed its runs and ends without it, or the worker is gone. */
    NONE,
    /** The incarnation that had begun the run is over. */
    INCARNATION_OVER,
    /** The next incarnation does not have the run, and can no longer accept an order to the former one. */
    NOT_ON_SUCCESSOR,
    /** The leases on the worker's own clock have expired. */
    LEASE_EXPIRED,
    /** Even a lease that a later incarnation shortened to the maximum has expired. */
    LONGEST_LEASE_EXPIRED
}
