package org.lovagegrade.entry.endpoints;

import com.google.protobuf.ByteString;
import java.util.List;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.UnknownOutcomeReason;
import org.lovagegrade.wire.proto.HeaderProto;

/** What became of one attempt at one endpoint. */
public sealed interface EndpointResult {
    /**
     * The endpoint answered, and this is the whole answer.
     *
     * @param httpStatus the HTTP status
     * @param headers the headers
     * @param body the whole body
     */
    record Answered(int httpStatus, List<HeaderProto> headers, ByteString body) implements EndpointResult {}

    /**
     * The endpoint surely did not run it.
     *
     * @param reason why
     */
    record NotRun(CallRefusal reason) implements EndpointResult {}

    /**
     * The endpoint may have run it.
     *
     * @param reason why that is not known
     */
    record Unknown(UnknownOutcomeReason reason) implements EndpointResult {}
}
