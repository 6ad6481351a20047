package org.lovagegrade.entry.calls;

/** The reason for a retry of a call. */
public enum RetryReason {
    /** The previous attempt did not run the call. */
    DID_NOT_RUN,
    /** The outcome of the previous attempt is unknown, and the call is idempotent. */
    IDEMPOTENT_IN_DOUBT
}
