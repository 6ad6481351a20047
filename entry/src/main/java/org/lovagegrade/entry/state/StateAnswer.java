package org.lovagegrade.entry.state;

import org.lovagegrade.wire.proto.EnvelopeProto;

/** What became of a request to the fleet's state. */
public sealed interface StateAnswer {
    /**
     * The leader answered.
     *
     * @param envelope the answer
     */
    record Answered(EnvelopeProto envelope) implements StateAnswer {}

    /**
     * No leader took the request in.
     *
     * @param reason why
     */
    record NotAccepted(String reason) implements StateAnswer {}

    /**
     * The request may have been taken in, and no answer came in time.
     *
     * @param reason why
     */
    record Unknown(String reason) implements StateAnswer {}
}
