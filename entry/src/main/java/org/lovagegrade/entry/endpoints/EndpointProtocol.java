package org.lovagegrade.entry.endpoints;

import io.undertow.util.HttpString;

/** The headers and paths that entries and endpoints share. */
public final class EndpointProtocol {
    /** The session under which a call is sent: {@code entry/epoch}. */
    public static final HttpString SESSION = new HttpString("Lovagegrade-Session");

    /** The call's id; an endpoint that knows it sends it back. */
    public static final HttpString CALL_ID = new HttpString("Lovagegrade-Call-Id");

    /** Says {@link #NOT_RUN} on an answer of an endpoint that did not run the call. */
    public static final HttpString OUTCOME = new HttpString("Lovagegrade-Outcome");

    /** The milliseconds that the caller still waits. */
    public static final HttpString DEADLINE_MS = new HttpString("Lovagegrade-Deadline-Ms");

    /** On the answer to a probe: the state of the call asked for. */
    public static final HttpString CALL_STATE = new HttpString("Lovagegrade-Call-State");

    /** The value of {@link #OUTCOME} for a call that did not run. */
    public static final String NOT_RUN = "not-run";

    /** The value of {@link #CALL_STATE} for a call that never arrived and will be refused if it does. */
    public static final String NEVER_ARRIVED = "never";

    /** The value of {@link #CALL_STATE} for a call that has ended. */
    public static final String FINISHED = "finished";

    /** The path of probes; any answer shows that the connection works. */
    public static final String PROBE_PATH = "/.lovagegrade/probe";

    private EndpointProtocol() {}
}
