package org.lovagegrade.graph.worker;

import org.lovagegrade.graph.machine.RunKey;

/**
 * Tells a worker to begin a run.
 *
 * @param run which run
 * @param payload what the job's caller wants run
 * @param untilMs until when the lease of everything on the worker lasts, on the worker's own clock
 * @param fencingToken the term of the leader that orders
 * @param checkpoint from where to go on, or an empty text
 * @param ticket the adviser's permission, or an empty text
 */
public record StartOrder(
        RunKey run, String payload, long untilMs, long fencingToken, String checkpoint, String ticket) {}
