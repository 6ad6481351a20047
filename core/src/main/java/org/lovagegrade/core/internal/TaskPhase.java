package org.lovagegrade.core.internal;

/** Where a task stands. */
enum TaskPhase {
    /** Not placed. */
    WAITING,
    /** Placed and perhaps running. */
    PLACED,
    /** Placed; the worker was asked for a checkpoint, and a stop follows. */
    CHECKPOINTING,
    /** Placed; the worker was asked to stop. */
    STOPPING,
    /** Ran to its end. */
    ENDED
}
