package org.lovagegrade.core;

/** The kinds of work. */
public enum ClassKind {
    /** Runs until it is cancelled; its tasks are spread over failure domains. */
    SERVICE,
    /** Ends by itself; its tasks are independent. */
    BATCH,
    /** Ends by itself; all its tasks run at once or none does. */
    GANG
}
