package org.lovagegrade.entry.state;

import org.lovagegrade.wire.proto.EnvelopeProto;

/** The outcome of a request to the state replicas. */
public sealed interface StateAnswer {
    /**
     * The leader answered.
     *
     * @param envelope the answer
     */
    record Answered(EnvelopeProto envelope) implements StateAnswer {}

    /**
     * No leader accepted the request.
     *
     * @param reason why the last attempt failed
     */
    record NotAccepted(String reason) implements StateAnswer {}

    /**
     * The request may have been accepted, but no answer arrived in time.
     *
     * @param reason why the last attempt failed
     */
    record Unknown(String reason) implements StateAnswer {}
}
