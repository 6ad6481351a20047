package org.lovagegrade.graph.leader;

/**
 * Safeguards against running a task twice, or in an evacuated failure domain, when the outcome of an order is unknown or
 * this replica may have been deposed. Tests disable them one by one to
 * prove that the checks of the simulation detect the resulting violations.
 *
 * @param awaitLeaseExpiry whether runs on a lost worker are given up only after every lease there has expired
 * @param raiseFencingToken whether a worker on which runs were given up first gets a fencing token that is higher than
 *     those of the orders that may still arrive
 * @param withdrawEvacuatedStarts whether committed starts are withdrawn once their failure domain is evacuated
 * @param requireLeaseToStart whether starts are sent only while this replica holds the leader lease
 */
record DriverSafeguards(
        boolean awaitLeaseExpiry,
        boolean raiseFencingToken,
        boolean withdrawEvacuatedStarts,
        boolean requireLeaseToStart) {
    static DriverSafeguards allEnabled() {
        return new DriverSafeguards(true, true, true, true);
    }
}
