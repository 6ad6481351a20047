package org.lovagegrade.entry.calls;

/** Why a call was tried again. */
public enum RetryReason {
    /** It did not run at the first place. */
    DID_NOT_RUN,
    /** It may have run, and may run again since it is idempotent. */
    IDEMPOTENT_IN_DOUBT
}
