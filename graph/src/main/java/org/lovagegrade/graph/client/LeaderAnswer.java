package org.lovagegrade.graph.client;

import org.lovagegrade.wire.proto.GraphReplyProto;

/** What became of a request to the leader. */
public sealed interface LeaderAnswer {
    /**
     * The leader answered.
     *
     * @param reply its answer
     * @param earlierAttemptInDoubt whether an earlier attempt of the same request may have been taken in as well
     */
    record Answered(GraphReplyProto reply, boolean earlierAttemptInDoubt) implements LeaderAnswer {}

    /**
     * No replica took the request in.
     *
     * @param reason the last reason
     */
    record NotAccepted(String reason) implements LeaderAnswer {}

    /**
     * The request may have been taken in.
     *
     * @param reason the last reason
     */
    record Unknown(String reason) implements LeaderAnswer {}
}
