package org.lovagegrade.entry.endpoints;

import com.google.protobuf.ByteString;
import java.util.List;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.UnknownOutcomeReason;
import org.lovagegrade.wire.proto.HeaderProto;

/** The result of one attempt to run a call at one endpoint. */
public sealed interface EndpointResult {
    /**
     * The endpoint answered; the response was received completely.
     *
     * @param httpStatus the HTTP status
     * @param headers the headers
     * @param body the whole body
     */
    record Answered(int httpStatus, List<HeaderProto> headers, ByteString body) implements EndpointResult {}

    /**
     * The endpoint did not run the call and will not run it.
     *
     * @param reason why it did not run
     */
    record NotRun(CallRefusal reason) implements EndpointResult {}

    /**
     * The endpoint may have run it.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(UnknownOutcomeReason reason) implements EndpointResult {}
}
