package org.lovagegrade.entry.calls;

import java.util.Arrays;
import org.lovagegrade.wire.proto.CallStatusProto;
import org.lovagegrade.wire.proto.PassedCallProto;
import org.lovagegrade.wire.proto.PassedCallReplyProto;

/** Converts between calls and the messages in which entries forward them to each other. */
public final class ForwardedCalls {
    private ForwardedCalls() {}

    /**
     * Converts the message in which another entry forwarded a call.
     *
     * @param forwarded the message
     * @param nowMs the current time on the monotonic clock, in milliseconds
     * @return the call, with its times on the clock of this process
     */
    public static CallRequest toRequest(PassedCallProto forwarded, long nowMs) {
        long deadlineMs = nowMs + forwarded.getBudgetMs();
        return new CallRequest(
                forwarded.getCallId(),
                forwarded.getWorkspace(),
                forwarded.getWorkClass(),
                forwarded.getService(),
                forwarded.getMethod(),
                forwarded.getPath(),
                forwarded.getHeadersList(),
                forwarded.getBody(),
                forwarded.getIdempotent(),
                deadlineMs,
                Math.min(deadlineMs, nowMs + forwarded.getWaitMs()));
    }

    /**
     * Converts an outcome to a reply.
     *
     * @param outcome the outcome
     * @return the reply
     */
    public static PassedCallReplyProto toReply(CallOutcome outcome) {
        PassedCallReplyProto.Builder reply = PassedCallReplyProto.newBuilder();
        if (outcome instanceof CallOutcome.Answered answered) {
            return reply.setStatus(CallStatusProto.ANSWERED)
                    .setHttpStatus(answered.httpStatus())
                    .addAllHeaders(answered.headers())
                    .setBody(answered.body())
                    .build();
        }
        if (outcome instanceof CallOutcome.NotRun notRun) {
            return reply.setStatus(CallStatusProto.NOT_RUN)
                    .setReason(notRun.reason().text())
                    .build();
        }
        return reply.setStatus(CallStatusProto.CALL_UNKNOWN)
                .setReason(((CallOutcome.Unknown) outcome).reason().text())
                .build();
    }

    /**
     * Converts a reply to an outcome. A reason that this version does not know becomes {@code ENDPOINT_REFUSED} or
     * {@code OWNER_LOST}.
     *
     * @param reply the reply
     * @return the outcome
     */
    public static CallOutcome toOutcome(PassedCallReplyProto reply) {
        return switch (reply.getStatus()) {
            case ANSWERED -> new CallOutcome.Answered(reply.getHttpStatus(), reply.getHeadersList(), reply.getBody());
            case NOT_RUN ->
                new CallOutcome.NotRun(Arrays.stream(CallRefusal.values())
                        .filter(reason -> reason.text().equals(reply.getReason()))
                        .findFirst()
                        .orElse(CallRefusal.ENDPOINT_REFUSED));
            default ->
                new CallOutcome.Unknown(Arrays.stream(UnknownOutcomeReason.values())
                        .filter(reason -> reason.text().equals(reply.getReason()))
                        .findFirst()
                        .orElse(UnknownOutcomeReason.OWNER_LOST));
        };
    }
}
