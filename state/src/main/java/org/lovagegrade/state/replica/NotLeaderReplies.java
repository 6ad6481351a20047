package org.lovagegrade.state.replica;

import java.util.Optional;
import org.lovagegrade.wire.proto.CommandReplyProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.HeartbeatBatchAnswerProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;
import org.lovagegrade.wire.proto.QueryReplyProto;
import org.lovagegrade.wire.proto.ViewReplyProto;

/** The replies of a replica that does not lead: the request was not accepted, and which replica leads. */
final class NotLeaderReplies {
    private NotLeaderReplies() {}

    static Optional<EnvelopeProto> forRequest(EnvelopeProto.BodyCase request, String leader) {
        EnvelopeProto.Builder envelope = EnvelopeProto.newBuilder();
        switch (request) {
            case COMMAND_REQUEST ->
                envelope.setCommandReply(CommandReplyProto.newBuilder()
                        .setLeader(leader)
                        .setOutcome(OutcomeProto.newBuilder().setStatus(OutcomeStatusProto.NOT_LEADER)));
            case HEARTBEAT_BATCH ->
                envelope.setHeartbeatAnswer(HeartbeatBatchAnswerProto.newBuilder()
                        .setLeader(leader)
                        .setStatus(OutcomeStatusProto.NOT_LEADER));
            case VIEW_REQUEST ->
                envelope.setViewReply(
                        ViewReplyProto.newBuilder().setLeader(leader).setStatus(OutcomeStatusProto.NOT_LEADER));
            case QUERY_REQUEST ->
                envelope.setQueryReply(
                        QueryReplyProto.newBuilder().setLeader(leader).setStatus(OutcomeStatusProto.NOT_LEADER));
            default -> {
                return Optional.empty();
            }
        }
        return Optional.of(envelope.build());
    }
}
