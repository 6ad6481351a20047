package org.lovagegrade.graph.advice;

/** Whether the adviser lets a worker run a step. */
public enum Verdict {
    /** The step needs no ticket, or has a valid one for the worker. */
    ALLOWED,
    /** The worker was allowed to run the step, but its ticket has expired or was refused; a new one is needed. */
    STALE,
    /** The adviser has not been asked about the worker. */
    UNKNOWN,
    /** The adviser does not allow this incarnation of the worker to run the step; it isn't asked again. */
    DENIED
}
