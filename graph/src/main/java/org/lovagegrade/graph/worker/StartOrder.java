package org.lovagegrade.graph.worker;

import org.lovagegrade.graph.machine.RunKey;

/**
 * Orders a worker to begin a run.
 *
 * @param run the run
 * @param payload the job's specification, as submitted by its caller
 * @param untilMs when the lease of all runs on the worker expires, on the worker's own clock in milliseconds
 * @param fencingToken a number above those of all orders that must have no effect after this one
 * @param checkpoint the checkpoint from which to continue, or an empty string
 * @param ticket the adviser's permission, or an empty string
 */
public record StartOrder(
        RunKey run, String payload, long untilMs, long fencingToken, String checkpoint, String ticket) {}
