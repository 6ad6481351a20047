package org.lovagegrade.graph.planning;

import java.util.Map;

/**
 * Workers that are held for a gang.
 *
 * @param step the name of the gang's step
 * @param membersByWorker the number of members on each worker, by the worker's id
 * @param startMs when all members are expected to fit, on the monotonic clock in milliseconds, or
 *     {@link CapacityRelease#UNKNOWN}
 */
public record GangReservation(String step, Map<String, Integer> membersByWorker, long startMs) {}
