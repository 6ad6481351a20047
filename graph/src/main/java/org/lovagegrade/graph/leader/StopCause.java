package org.lovagegrade.graph.leader;

/** Why the scheduler stops a run that its job still needs. */
enum StopCause {
    /** Another member of its gang was lost. */
    GANG_BROKEN,
    /** More urgent work gets its capacity. */
    PREEMPTED,
    /** It makes no progress. */
    STALLED,
    /** Its worker is about to leave. */
    WORKER_LEAVES
}
