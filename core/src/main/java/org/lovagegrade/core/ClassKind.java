package org.lovagegrade.core;

/** The kind of a work class. */
public enum ClassKind {
    /** Runs until it is cancelled; its tasks are spread over failure domains. */
    SERVICE,
    /** Runs to completion; its tasks are independent. */
    BATCH,
    /** Runs to completion; all its tasks run at once or none does. */
    GANG
}
