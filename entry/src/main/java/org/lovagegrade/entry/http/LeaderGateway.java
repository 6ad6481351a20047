package org.lovagegrade.entry.http;

import io.undertow.util.StatusCodes;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lovagegrade.entry.state.StateAnswer;
import org.lovagegrade.entry.state.StateClient;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.CommandRequestProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.QueryReplyProto;
import org.lovagegrade.wire.proto.QueryRequestProto;

/** Sends commands and queries to the leader and converts its answers to HTTP responses. */
final class LeaderGateway {
    private static final long COMMAND_TIMEOUT_MS = 10_000;
    private static final long QUERY_TIMEOUT_MS = 4_000;

    private final StateClient state;
    private final EventLoop loop;

    LeaderGateway(StateClient state, EventLoop loop) {
        this.state = state;
        this.loop = loop;
    }

    /** Sends a command. The leader recognizes repeated commands by their request id, so resending is safe. */
    void send(CommandProto command, Consumer<ApiResponse> reply) {
        EnvelopeProto request = EnvelopeProto.newBuilder()
                .setCommandRequest(CommandRequestProto.newBuilder().setCommand(command))
                .build();
        state.ask(request, COMMAND_TIMEOUT_MS, true)
                .thenAccept(answer -> loop.execute(() -> reply.accept(toResponse(answer))));
    }

    void query(QueryRequestProto query, Function<QueryReplyProto, ApiResponse> formatter, Consumer<ApiResponse> reply) {
        EnvelopeProto request =
                EnvelopeProto.newBuilder().setQueryRequest(query).build();
        state.ask(request, QUERY_TIMEOUT_MS, true)
                .thenAccept(answer -> loop.execute(() -> reply.accept(toResponse(answer, formatter))));
    }

    private static ApiResponse toResponse(StateAnswer answer, Function<QueryReplyProto, ApiResponse> formatter) {
        if (!(answer instanceof StateAnswer.Answered answered)) {
            return ApiResponse.refused(StatusCodes.SERVICE_UNAVAILABLE, "noLeader", "no leader answered in time");
        }
        QueryReplyProto queryReply = answered.envelope().getQueryReply();
        return queryReply.getReason().isEmpty()
                ? formatter.apply(queryReply)
                : ApiResponse.refused(statusFor(queryReply.getReason()), queryReply.getReason(), "");
    }

    private static ApiResponse toResponse(StateAnswer answer) {
        if (answer instanceof StateAnswer.NotAccepted notAccepted) {
            return ApiResponse.refused(StatusCodes.SERVICE_UNAVAILABLE, "noLeader", notAccepted.reason());
        }
        if (answer instanceof StateAnswer.Unknown unknown) {
            return ApiResponse.unknown("noAnswerInTime", unknown.reason() + "; send it again with the same request id");
        }
        OutcomeProto outcome =
                ((StateAnswer.Answered) answer).envelope().getCommandReply().getOutcome();
        return switch (outcome.getStatus()) {
            case OK ->
                ApiResponse.ok(ApiResponse.object()
                        .put("outcome", ApiResponse.ANSWERED)
                        .put("job", outcome.getJob())
                        .put("revision", outcome.getRevision()));
            case CONFLICT ->
                ApiResponse.json(
                        StatusCodes.CONFLICT,
                        ApiResponse.NOT_RUN,
                        ApiResponse.object()
                                .put("outcome", ApiResponse.NOT_RUN)
                                .put("reason", outcome.getReason())
                                .put("detail", outcome.getDetail())
                                .put("revision", outcome.getRevision()));
            default ->
                ApiResponse.refused(statusFor(outcome.getReason()), outcome.getReason(), outcome.getDetail())
                        .withRetryAfterMs(outcome.getRetryAfterMs());
        };
    }

    private static int statusFor(String reason) {
        return switch (reason) {
            case "wrongKey" -> StatusCodes.UNAUTHORIZED;
            case "keyOfOtherTeam" -> StatusCodes.FORBIDDEN;
            case "unknownJob", "unknownTeam", "unknownClass", "unknownKeyId", "unknownDomain" -> StatusCodes.NOT_FOUND;
            case "overloaded" -> StatusCodes.TOO_MANY_REQUESTS;
            case "duplicateJob", "stillInUse", "jobIsOver" -> StatusCodes.CONFLICT;
            default -> StatusCodes.BAD_REQUEST;
        };
    }
}
