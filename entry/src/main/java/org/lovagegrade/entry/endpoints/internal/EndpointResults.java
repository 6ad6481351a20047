package org.lovagegrade.entry.endpoints.internal;

import com.google.protobuf.ByteString;
import io.undertow.client.ClientRequest;
import java.util.List;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.UnknownOutcomeReason;
import org.lovagegrade.entry.endpoints.EndpointProtocol;
import org.lovagegrade.entry.endpoints.EndpointResult;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.wire.proto.HeaderProto;

/** Converts HTTP results to results of calls. */
final class EndpointResults {
    private EndpointResults() {}

    static EndpointResult from(HttpResult result, ClientRequest request) {
        if (result instanceof HttpResult.NotSent) {
            return new EndpointResult.NotRun(CallRefusal.NO_CONNECTION);
        }
        if (result instanceof HttpResult.Lost lost) {
            return new EndpointResult.Unknown(unknownReason(lost.cause()));
        }
        HttpResult.Answered response = (HttpResult.Answered) result;
        if (isOfOtherCall(response, request)) {
            return new EndpointResult.Unknown(UnknownOutcomeReason.ANSWER_OF_OTHER_CALL);
        }
        if (response.header(EndpointProtocol.OUTCOME.toString()).equals(EndpointProtocol.NOT_RUN)) {
            return new EndpointResult.NotRun(CallRefusal.ENDPOINT_REFUSED);
        }
        List<HeaderProto> headers = response.headers().stream()
                .map(header -> HeaderProto.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .toList();
        return new EndpointResult.Answered(
                response.status(), headers, ByteString.copyFrom(response.body().duplicate()));
    }

    private static boolean isOfOtherCall(HttpResult.Answered response, ClientRequest request) {
        String sent = request.getRequestHeaders().getFirst(EndpointProtocol.CALL_ID);
        String returned = response.header(EndpointProtocol.CALL_ID.toString());
        return sent != null && !returned.isEmpty() && !sent.equals(returned);
    }

    private static UnknownOutcomeReason unknownReason(HttpResult.FailureCause cause) {
        return switch (cause) {
            case CONNECTION_LOST, ABANDONED -> UnknownOutcomeReason.CONNECTION_LOST;
            case ANSWER_CUT_SHORT -> UnknownOutcomeReason.ANSWER_CUT_SHORT;
            case ANSWER_WITHOUT_LENGTH -> UnknownOutcomeReason.ANSWER_WITHOUT_LENGTH;
            case ANSWER_TOO_LARGE -> UnknownOutcomeReason.ANSWER_TOO_LARGE;
        };
    }
}
