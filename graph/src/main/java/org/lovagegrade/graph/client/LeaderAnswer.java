package org.lovagegrade.graph.client;

import org.lovagegrade.wire.proto.GraphReplyProto;

/** The outcome of a request to the leader. */
public sealed interface LeaderAnswer {
    /**
     * The leader answered.
     *
     * @param reply the leader's reply
     * @param earlierAttemptInDoubt whether an earlier attempt of the same request may have been accepted as well
     */
    record Answered(GraphReplyProto reply, boolean earlierAttemptInDoubt) implements LeaderAnswer {}

    /**
     * No replica accepted the request.
     *
     * @param reason why the last attempt failed
     */
    record NotAccepted(String reason) implements LeaderAnswer {}

    /**
     * The outcome is unknown: the request may have been accepted.
     *
     * @param reason why the last attempt failed
     */
    record Unknown(String reason) implements LeaderAnswer {}
}
