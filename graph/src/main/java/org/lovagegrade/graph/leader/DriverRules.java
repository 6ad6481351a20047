package org.lovagegrade.graph.leader;

/**
 * The rules by which runs in doubt are settled, which tests take out one by one to see that their checks notice.
 *
 * @param waitForLapse whether runs on a lost worker are given up only after every lease there has passed
 * @param buryDoubts whether a worker that comes back is told first to forget runs whose start may still arrive
 */
record DriverRules(boolean waitForLapse, boolean buryDoubts) {
    static DriverRules safe() {
        return new DriverRules(true, true);
    }
}
