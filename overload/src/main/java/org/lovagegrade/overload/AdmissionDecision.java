package org.lovagegrade.overload;

/** Whether new work is accepted, with the figures that decided it. */
public sealed interface AdmissionDecision {
    /**
     * The work is accepted.
     *
     * @param expectedStartMs when it is expected to start, in milliseconds since 1970
     * @param expectedEndMs when its result is expected, in milliseconds since 1970
     */
    record Accepted(long expectedStartMs, long expectedEndMs) implements AdmissionDecision {}

    /**
     * The work is refused, since its result would come too late to be useful.
     *
     * @param reason what is short
     * @param retryAfterMs when the caller should submit it again, in milliseconds from now, from 1,000 to 90,000
     * @param coreMsAhead the work that would have gone before it, in core-milliseconds
     */
    record Refused(RefusalReason reason, long retryAfterMs, long coreMsAhead) implements AdmissionDecision {}
}
