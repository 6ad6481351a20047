package org.lovagegrade.entry.calls.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallOutcome;
import org.lovagegrade.entry.calls.CallRequest;
import org.lovagegrade.entry.calls.UnknownOutcomeReason;

/** A call that this entry has from a caller or from another entry and has not answered. */
public final class PendingCall {
    private final CallRequest request;
    private final Consumer<CallOutcome> caller;
    private final Set<String> failedTargets = new HashSet<>();
    private final long receivedMs;
    private final boolean isForwarded;
    private boolean admitted;
    private int attempts;
    private UnknownOutcomeReason inDoubtReason;

    /**
     * Creates the call.
     *
     * @param request the call
     * @param caller takes the outcome, once
     * @param receivedMs when it came, on the monotonic clock in milliseconds
     */
    public PendingCall(CallRequest request, Consumer<CallOutcome> caller, long receivedMs) {
        this(request, caller, receivedMs, false);
    }

    private PendingCall(CallRequest request, Consumer<CallOutcome> caller, long receivedMs, boolean isForwarded) {
        this.receivedMs = receivedMs;
        this.request = request;
        this.caller = caller;
        this.isForwarded = isForwarded;
    }

    /**
     * A call that another entry received, counts against its workspace's limit, and passed on to wait for a slot here.
     *
     * @param request the call
     * @param caller takes the outcome for the other entry, once
     * @param receivedMs when it came here, on the monotonic clock in milliseconds
     * @return the call
     */
    public static PendingCall forwarded(CallRequest request, Consumer<CallOutcome> caller, long receivedMs) {
        return new PendingCall(request, caller, receivedMs, true);
    }

    /**
     * Whether another entry passed it on; such a call goes to own endpoints only.
     *
     * @return true if so
     */
    public boolean isForwarded() {
        return isForwarded;
    }

    /**
     * The call itself.
     *
     * @return the request
     */
    public CallRequest request() {
        return request;
    }

    /**
     * When it came.
     *
     * @return a time on the monotonic clock in milliseconds
     */
    public long receivedMs() {
        return receivedMs;
    }

    /**
     * Whether it counts against its workspace's limit.
     *
     * @return true from its first attempt on
     */
    public boolean isAdmitted() {
        return admitted;
    }

    /** Counts it against its workspace's limit from now on. */
    public void admit() {
        admitted = true;
    }

    /** Lets it wait like one that was never tried; it counts against no limit any more. */
    public void undoAttempt() {
        attempts--;
        admitted = false;
    }

    /**
     * Notes an attempt.
     *
     * @return the number of the attempt, from 1
     */
    public int startAttempt() {
        return ++attempts;
    }

    /**
     * How often it was tried.
     *
     * @return the number of attempts
     */
    public int attempts() {
        return attempts;
    }

    /**
     * The places that failed it.
     *
     * @return a set to add to
     */
    public Set<String> failedTargets() {
        return failedTargets;
    }

    /**
     * Notes that an attempt may have run.
     *
     * @param reason why that is not known
     */
    public void markInDoubt(UnknownOutcomeReason reason) {
        inDoubtReason = reason;
    }

    /**
     * Why it may have run.
     *
     * @return the reason, or null if it surely has not run
     */
    public UnknownOutcomeReason inDoubtReason() {
        return inDoubtReason;
    }

    /**
     * Answers the caller.
     *
     * @param outcome the outcome
     */
    public void finish(CallOutcome outcome) {
        caller.accept(outcome);
    }
}
