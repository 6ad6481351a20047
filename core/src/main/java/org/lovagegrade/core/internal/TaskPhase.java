package org.lovagegrade.core.internal;

/** The phase of a task. */
enum TaskPhase {
    /** Not placed. */
    WAITING,
    /** Placed on a worker and possibly running. */
    PLACED,
    /** Placed; the worker was asked for a checkpoint, and a stop follows. */
    CHECKPOINTING,
    /** Placed; the worker was asked to stop. */
    STOPPING,
    /** Completed. */
    ENDED
}
