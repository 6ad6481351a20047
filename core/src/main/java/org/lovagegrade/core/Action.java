package org.lovagegrade.core;

/** The action of a decision. */
public enum Action {
    /** The job is accepted. */
    ACCEPT("accept"),
    /** The job is refused; none of its tasks ran or will run. */
    REFUSE("refuse"),
    /** An attempt is placed on a worker. */
    PLACE("place"),
    /** The worker is asked to checkpoint an attempt. */
    CHECKPOINT("checkpoint"),
    /** The worker is asked to stop an attempt. */
    STOP("stop"),
    /** An attempt completed or was stopped. */
    END("end"),
    /** An attempt failed, or the whole job did. */
    FAIL("fail"),
    /** An attempt's lease expired. */
    LEASE_EXPIRED("leaseExpired"),
    /** The job is unschedulable and blocks no others; it is queued again once it becomes feasible. */
    SET_ASIDE("setAside");

    private final String text;

    Action(String text) {
        this.text = text;
    }

    /**
     * Returns the name used in decision logs.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
