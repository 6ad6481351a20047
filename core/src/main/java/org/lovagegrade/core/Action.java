package org.lovagegrade.core;

/** What a decision does. */
public enum Action {
    /** The job is taken. */
    ACCEPT("accept"),
    /** The job is not taken; none of it ran or will run. */
    REFUSE("refuse"),
    /** An attempt is given to a worker. */
    PLACE("place"),
    /** The worker is asked to checkpoint an attempt. */
    CHECKPOINT("checkpoint"),
    /** The worker is asked to stop an attempt. */
    STOP("stop"),
    /** An attempt ended. */
    END("end"),
    /** An attempt failed. */
    FAIL("fail"),
    /** An attempt's lease ran out. */
    LEASE_EXPIRED("leaseExpired"),
    /** The job can't run now and blocks nobody; it returns when it can. */
    SET_ASIDE("setAside");

    private final String text;

    Action(String text) {
        this.text = text;
    }

    /**
     * The name in decision logs.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
