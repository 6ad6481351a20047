package org.lovagegrade.graph.worker;

/**
 * Renews a worker's lease, takes note of ends, and asks for what runs and what ended.
 *
 * @param fencingToken the term of the leader that orders
 * @param untilMs until when the lease lasts, on the worker's own clock; 0 leaves it as it is
 * @param cursor the number of the last end that is committed
 * @param waitMs how long the worker may wait for another end before it answers, in milliseconds
 */
public record RenewOrder(long fencingToken, long untilMs, long cursor, long waitMs) {}
