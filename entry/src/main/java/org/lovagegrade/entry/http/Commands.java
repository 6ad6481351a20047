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

/** Takes commands and questions to the leader and words its answers. */
final class Commands {
    private static final long COMMAND_TIMEOUT_MS = 10_000;
    private static final long QUERY_TIMEOUT_MS = 4_000;

    private final StateClient state;
    private final EventLoop loop;

    Commands(StateClient state, EventLoop loop) {
        this.state = state;
        this.loop = loop;
    }

    /** Sends a command with its request id, by which resends are told. */
    void send(CommandProto command, Consumer<ApiAnswer> reply) {
        EnvelopeProto request = EnvelopeProto.newBuilder()
                .setCommandRequest(CommandRequestProto.newBuilder().setCommand(command))
                .build();
        state.ask(request, COMMAND_TIMEOUT_MS, true)
                .thenAccept(answer -> loop.execute(() -> reply.accept(toAnswer(answer))));
    }

    void query(QueryRequestProto query, Function<QueryReplyProto, ApiAnswer> wording, Consumer<ApiAnswer> reply) {
        EnvelopeProto request =
                EnvelopeProto.newBuilder().setQueryRequest(query).build();
        state.ask(request, QUERY_TIMEOUT_MS, true)
                .thenAccept(answer -> loop.execute(() -> reply.accept(toAnswer(answer, wording))));
    }

    private static ApiAnswer toAnswer(StateAnswer answer, Function<QueryReplyProto, ApiAnswer> wording) {
        if (!(answer instanceof StateAnswer.Answered answered)) {
            return ApiAnswer.refused(StatusCodes.SERVICE_UNAVAILABLE, "noLeader", "no leader answered in time");
        }
        QueryReplyProto found = answered.envelope().getQueryReply();
        return found.getReason().isEmpty()
                ? wording.apply(found)
                : ApiAnswer.refused(statusFor(found.getReason()), found.getReason(), "");
    }

    private static ApiAnswer toAnswer(StateAnswer answer) {
        if (answer instanceof StateAnswer.NotTaken notTaken) {
            return ApiAnswer.refused(StatusCodes.SERVICE_UNAVAILABLE, "noLeader", notTaken.reason());
        }
        if (answer instanceof StateAnswer.Unknown unknown) {
            return ApiAnswer.unknown("noAnswerInTime", unknown.reason() + "; send it again with the same request id");
        }
        OutcomeProto outcome =
                ((StateAnswer.Answered) answer).envelope().getCommandReply().getOutcome();
        return switch (outcome.getStatus()) {
            case OK ->
                ApiAnswer.ok(ApiAnswer.object()
                        .put("outcome", ApiAnswer.ANSWERED)
                        .put("job", outcome.getJob())
                        .put("revision", outcome.getRevision()));
            case CONFLICT ->
                ApiAnswer.json(
                        StatusCodes.CONFLICT,
                        ApiAnswer.NOT_RUN,
                        ApiAnswer.object()
                                .put("outcome", ApiAnswer.NOT_RUN)
                                .put("reason", outcome.getReason())
                                .put("detail", outcome.getDetail())
                                .put("revision", outcome.getRevision()));
            default -> ApiAnswer.refused(statusFor(outcome.getReason()), outcome.getReason(), outcome.getDetail());
        };
    }

    private static int statusFor(String reason) {
        return switch (reason) {
            case "wrongKey" -> StatusCodes.UNAUTHORIZED;
            case "keyOfOtherTeam" -> StatusCodes.FORBIDDEN;
            case "unknownJob", "unknownTeam", "unknownClass", "unknownKeyId" -> StatusCodes.NOT_FOUND;
            case "duplicateJob", "stillInUse", "jobIsOver" -> StatusCodes.CONFLICT;
            default -> StatusCodes.BAD_REQUEST;
        };
    }
}
