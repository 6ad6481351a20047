package org.lovagegrade.entry.endpoints.internal;

import com.google.protobuf.ByteString;
import io.undertow.client.ClientRequest;
import java.util.List;
import org.lovagegrade.entry.calls.CallDoubt;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.endpoints.EndpointAnswer;
import org.lovagegrade.entry.endpoints.EndpointProtocol;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.wire.proto.HeaderProto;

/** Reads what an HTTP result says about a call. */
final class EndpointAnswers {
    private EndpointAnswers() {}

    static EndpointAnswer from(HttpResult result, ClientRequest request) {
        if (result instanceof HttpResult.NotSent) {
            return new EndpointAnswer.NotRun(CallRefusal.NO_CONNECTION);
        }
        if (result instanceof HttpResult.Lost lost) {
            return new EndpointAnswer.Doubtful(doubt(lost.cause()));
        }
        HttpResult.Answered whole = (HttpResult.Answered) result;
        if (isOfOtherCall(whole, request)) {
            return new EndpointAnswer.Doubtful(CallDoubt.ANSWER_OF_OTHER_CALL);
        }
        if (whole.header(EndpointProtocol.OUTCOME.toString()).equals(EndpointProtocol.NOT_RUN)) {
            return new EndpointAnswer.NotRun(CallRefusal.ENDPOINT_REFUSED);
        }
        List<HeaderProto> headers = whole.headers().stream()
                .map(header -> HeaderProto.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .toList();
        return new EndpointAnswer.Whole(
                whole.status(), headers, ByteString.copyFrom(whole.body().duplicate()));
    }

    private static boolean isOfOtherCall(HttpResult.Answered whole, ClientRequest request) {
        String sent = request.getRequestHeaders().getFirst(EndpointProtocol.CALL_ID);
        String back = whole.header(EndpointProtocol.CALL_ID.toString());
        return sent != null && !back.isEmpty() && !sent.equals(back);
    }

    private static CallDoubt doubt(HttpResult.FailureCause loss) {
        return switch (loss) {
            case CONNECTION_LOST, ABANDONED -> CallDoubt.CONNECTION_LOST;
            case ANSWER_CUT_SHORT -> CallDoubt.ANSWER_CUT_SHORT;
            case ANSWER_WITHOUT_LENGTH -> CallDoubt.ANSWER_WITHOUT_LENGTH;
            case ANSWER_TOO_LARGE -> CallDoubt.ANSWER_TOO_LARGE;
        };
    }
}
