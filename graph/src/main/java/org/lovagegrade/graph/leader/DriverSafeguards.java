package org.lovagegrade.graph.leader;

/**
 * Safeguards against running a task twice when the outcome of an order is unknown. Tests disable them one by one to
 * prove that the checks of the simulation detect the resulting violations.
 *
 * @param awaitLeaseExpiry whether runs on a lost worker are given up only after every lease there has expired
 * @param stopInDoubtRuns whether a worker that comes back must first stop the runs whose start may still arrive
 */
record DriverSafeguards(boolean awaitLeaseExpiry, boolean stopInDoubtRuns) {
    static DriverSafeguards allEnabled() {
        return new DriverSafeguards(true, true);
    }
}
