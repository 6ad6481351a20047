package org.lovagegrade.entry.calls.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallOutcome;
import org.lovagegrade.entry.calls.CallRequest;
import org.lovagegrade.entry.calls.UnknownOutcomeReason;

/** A call from a client or from another entry that has not been answered yet. */
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
     * @param caller receives the outcome exactly once
     * @param receivedMs when it was received, in milliseconds on the monotonic clock
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
     * Creates a call that another entry forwarded to wait for a slot here. It is the other entry that counts it against
     * the limit of its workspace.
     *
     * @param request the call
     * @param caller receives the outcome for the other entry exactly once
     * @param receivedMs when it was received here, in milliseconds on the monotonic clock
     * @return the call
     */
    public static PendingCall forwarded(CallRequest request, Consumer<CallOutcome> caller, long receivedMs) {
        return new PendingCall(request, caller, receivedMs, true);
    }

    /**
     * Returns whether another entry forwarded the call; such a call goes to local endpoints only.
     *
     * @return true if another entry forwarded it
     */
    public boolean isForwarded() {
        return isForwarded;
    }

    /**
     * Returns the call as it was received.
     *
     * @return the request
     */
    public CallRequest request() {
        return request;
    }

    /**
     * Returns when the call was received.
     *
     * @return the time in milliseconds on the monotonic clock
     */
    public long receivedMs() {
        return receivedMs;
    }

    /**
     * Returns whether the call counts against the limit of its workspace.
     *
     * @return true from its first attempt on, unless that found no free slot; never for a forwarded call
     */
    public boolean isAdmitted() {
        return admitted;
    }

    /** Marks the call as counted against the limit of its workspace. */
    public void admit() {
        admitted = true;
    }

    /** Reverts {@link #startAttempt()} and {@link #admit()} for an attempt that found no free slot. */
    public void undoAttempt() {
        attempts--;
        admitted = false;
    }

    /**
     * Counts a new attempt.
     *
     * @return the number of the attempt, starting at 1
     */
    public int startAttempt() {
        return ++attempts;
    }

    /**
     * Returns the number of attempts so far.
     *
     * @return the number of attempts
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Returns the ids of the targets at which the call has failed.
     *
     * @return the mutable set of ids
     */
    public Set<String> failedTargets() {
        return failedTargets;
    }

    /**
     * Records that an attempt may have run the call.
     *
     * @param reason why the outcome is unknown
     */
    public void markInDoubt(UnknownOutcomeReason reason) {
        inDoubtReason = reason;
    }

    /**
     * Returns why the call may have run.
     *
     * @return the reason of the last attempt with an unknown outcome, or null if surely no attempt ran the call
     */
    public UnknownOutcomeReason inDoubtReason() {
        return inDoubtReason;
    }

    /**
     * Reports the outcome to the caller.
     *
     * @param outcome the outcome
     */
    public void finish(CallOutcome outcome) {
        caller.accept(outcome);
    }
}
