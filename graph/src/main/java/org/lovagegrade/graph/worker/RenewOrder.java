package org.lovagegrade.graph.worker;

/**
 * Renews a worker's lease, acknowledges ends, and asks for the running and the ended runs.
 *
 * @param fencingToken a number above those of all orders that must have no effect after this one
 * @param untilMs when the lease expires, on the worker's own clock in milliseconds; 0 leaves the lease unchanged
 * @param cursor the sequence number of the last end that is committed
 * @param waitMs how long the worker may wait for another end before it answers, in milliseconds
 */
public record RenewOrder(long fencingToken, long untilMs, long cursor, long waitMs) {}
