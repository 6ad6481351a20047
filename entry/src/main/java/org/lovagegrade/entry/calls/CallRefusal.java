package org.lovagegrade.entry.calls;

/** The reason why a call did not run. */
public enum CallRefusal {
    /** The key is missing, unknown or withdrawn. */
    WRONG_KEY("wrongKey"),
    /** The lease of the configuration view has expired, or no configuration was received yet. */
    VIEW_LEASE_EXPIRED("viewLeaseExpired"),
    /** The request names an unknown work class. */
    UNKNOWN_CLASS("unknownClass"),
    /** No endpoint is known for the service. */
    NO_ENDPOINT("noEndpoint"),
    /** No slot became free before the call had to start. */
    NO_SLOT_IN_TIME("noSlotInTime"),
    /** The workspace stayed at its limit of calls in flight until the call had to start. */
    WORKSPACE_AT_LIMIT("teamAtLimit"),
    /** The call queue of this entry is full. */
    LINE_FULL("lineFull"),
    /** An attempt failed without running the call, and the retry budget is exhausted. */
    RETRY_BUDGET_SPENT("retryBudgetSpent"),
    /** The entry that owns the endpoints had no free slot. */
    NO_FREE_SLOT_AT_OWNER("noFreeSlotAtOwner"),
    /** The deadline of the call passed before it was sent. */
    DEADLINE_PASSED("deadlinePassed"),
    /** The endpoint reported that it did not run the call. */
    ENDPOINT_REFUSED("endpointRefused"),
    /** No connection to the endpoint or to the entry that owns it could be established. */
    NO_CONNECTION("noConnection"),
    /** The endpoint never received the request and rejects it if it still arrives. */
    NEVER_ARRIVED("neverArrived"),
    /** The request body exceeds the size limit. */
    BODY_TOO_LARGE("bodyTooLarge"),
    /** The request is malformed. */
    BAD_REQUEST("badRequest");

    private final String text;

    CallRefusal(String text) {
        this.text = text;
    }

    /**
     * Returns the name that stands for this reason in responses, in logs and in messages between entries.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
