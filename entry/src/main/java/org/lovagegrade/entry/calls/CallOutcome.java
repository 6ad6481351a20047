package org.lovagegrade.entry.calls;

import com.google.protobuf.ByteString;
import java.util.List;
import org.lovagegrade.wire.proto.HeaderProto;

/** What became of a call; each of the three is true. */
public sealed interface CallOutcome {
    /**
     * An endpoint answered, and this is the whole answer.
     *
     * @param httpStatus the HTTP status
     * @param headers the headers
     * @param body the whole body
     */
    record Answered(int httpStatus, List<HeaderProto> headers, ByteString body) implements CallOutcome {}

    /**
     * The call did not run and will not.
     *
     * @param reason why
     */
    record NotRun(CallRefusal reason) implements CallOutcome {}

    /**
     * The call may have run.
     *
     * @param reason why that is not known
     */
    record Unknown(UnknownOutcomeReason reason) implements CallOutcome {}
}
