package org.lovagegrade.entry.calls;

import com.google.protobuf.ByteString;
import java.util.List;
import org.lovagegrade.wire.proto.HeaderProto;

/** The outcome of a call: answered, surely not run, or unknown. */
public sealed interface CallOutcome {
    /**
     * An endpoint answered; the response was received completely.
     *
     * @param httpStatus the HTTP status code
     * @param headers the response headers
     * @param body the complete response body
     */
    record Answered(int httpStatus, List<HeaderProto> headers, ByteString body) implements CallOutcome {}

    /**
     * The call did not run and will not run.
     *
     * @param reason why it did not run
     */
    record NotRun(CallRefusal reason) implements CallOutcome {}

    /**
     * The call may have run.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(UnknownOutcomeReason reason) implements CallOutcome {}
}
