package org.lovagegrade.entry.endpoints;

import io.undertow.util.HttpString;

/** The HTTP headers and paths of the protocol between entries and endpoints. */
public final class EndpointProtocol {
    /** The session in which a call is sent: {@code entry/epoch}. */
    public static final HttpString SESSION = new HttpString("Lovagegrade-Session");

    /** The id of the call; an endpoint that supports it returns it with the response. */
    public static final HttpString CALL_ID = new HttpString("Lovagegrade-Call-Id");

    /** Is {@link #NOT_RUN} on the response of an endpoint that did not run the call. */
    public static final HttpString OUTCOME = new HttpString("Lovagegrade-Outcome");

    /** The remaining time until the deadline of the call, in milliseconds. */
    public static final HttpString DEADLINE_MS = new HttpString("Lovagegrade-Deadline-Ms");

    /** The state of the call that a probe asks about; on the response to the probe. */
    public static final HttpString CALL_STATE = new HttpString("Lovagegrade-Call-State");

    /** The value of {@link #OUTCOME} for a call that did not run. */
    public static final String NOT_RUN = "not-run";

    /** The value of {@link #CALL_STATE} for a call that has not arrived and will be refused if it still does. */
    public static final String NEVER_ARRIVED = "never";

    /** The value of {@link #CALL_STATE} for a call that has ended. */
    public static final String FINISHED = "finished";

    /** The path of probes; any response shows that the connection works. */
    public static final String PROBE_PATH = "/.lovagegrade/probe";

    private EndpointProtocol() {}
}
