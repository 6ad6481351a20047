package org.lovagegrade.entry.calls;

/** Why a call did not run. */
public enum CallRefusal {
    /** The key is missing, not known or withdrawn. */
    WRONG_KEY("wrongKey"),
    /** This entry has no proof of the configuration in force. */
    VIEW_LEASE_EXPIRED("viewLeaseExpired"),
    /** No such class of work. */
    UNKNOWN_CLASS("unknownClass"),
    /** No endpoint serves this service. */
    NO_ENDPOINT("noEndpoint"),
    /** No slot became free in time. */
    NO_SLOT_IN_TIME("noSlotInTime"),
    /** The workspace was at its limit of calls for too long. */
    WORKSPACE_AT_LIMIT("teamAtLimit"),
    /** Too many calls wait here. */
    LINE_FULL("lineFull"),
    /** The endpoints that were tried could not be reached, and the retry budget is spent. */
    RETRY_BUDGET_SPENT("retryBudgetSpent"),
    /** The owner of the endpoint had no free slot. */
    NO_FREE_SLOT_AT_OWNER("noFreeSlotAtOwner"),
    /** The caller's deadline passed before the call was sent. */
    DEADLINE_PASSED("deadlinePassed"),
    /** The endpoint said that it did not run the call. */
    ENDPOINT_REFUSED("endpointRefused"),
    /** No connection to the endpoint could be made. */
    NO_CONNECTION("noConnection"),
    /** The endpoint never saw the request and will not run it if it comes. */
    NEVER_ARRIVED("neverArrived"),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE("bodyTooLarge"),
    /** The request is malformed. */
    BAD_REQUEST("badRequest");

    private final String text;

    CallRefusal(String text) {
        this.text = text;
    }

    /**
     * The name in answers and logs.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
