package org.lovagegrade.graph.advice;

/** What is known about a step on a worker. */
public enum Verdict {
    /** The step needs no ticket, or has one that is good. */
    ALLOWED,
    /** The worker may run the step, but the ticket has to be asked for again. */
    STALE,
    /** The adviser was not asked yet. */
    UNKNOWN,
    /** The worker may never run the step. */
    DENIED
}
