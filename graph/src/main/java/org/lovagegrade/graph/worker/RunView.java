package org.lovagegrade.graph.worker;

import org.lovagegrade.graph.machine.RunKey;

/**
 * A run that is running, as its worker lists it.
 *
 * @param key the run
 * @param checkpoint the latest checkpoint, or an empty string
 * @param percent the percentage of the work that is done; for a lasting task, the percentage at which it works
 * @param load the thousandths of a core in use; for a lasting task, its tail latency in milliseconds
 */
public record RunView(RunKey key, String checkpoint, int percent, long load) {}
