package org.lovagegrade.graph.worker;

import org.lovagegrade.graph.machine.RunKey;

/**
 * A run as its worker lists it.
 *
 * @param key which run
 * @param checkpoint the latest checkpoint, or an empty text
 * @param percent how much of the work is done, or at what share a lasting task works
 * @param load for a lasting task its tail latency in milliseconds, else thousandths of a core in use
 */
public record RunView(RunKey key, String checkpoint, int percent, long load) {}
