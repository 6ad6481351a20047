package org.lovagegrade.wire.internal;

import java.util.concurrent.CompletableFuture;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.EnvelopeProto;

/** A message that is queued on a link or waits for its answer, with the future of its result. */
public final class PendingRequest {
    private final EnvelopeProto message;
    private final long deadlineMs;
    private final CompletableFuture<RpcResult> result;
    private final boolean expectsAnswer;

    private PendingRequest(
            EnvelopeProto message, long deadlineMs, CompletableFuture<RpcResult> result, boolean expectsAnswer) {
        this.message = message;
        this.deadlineMs = deadlineMs;
        this.result = result;
        this.expectsAnswer = expectsAnswer;
    }

    /**
     * Creates a request that expects an answer.
     *
     * @param message the request
     * @param deadlineMs the time on the link's clock after which it is no longer sent
     * @param result the future to complete with the result
     * @return the request
     */
    public static PendingRequest expecting(
            EnvelopeProto message, long deadlineMs, CompletableFuture<RpcResult> result) {
        return new PendingRequest(message, deadlineMs, result, true);
    }

    /**
     * Creates a message that expects no answer.
     *
     * @param message the message
     * @param deadlineMs the time on the link's clock after which it is no longer sent
     * @return the message
     */
    public static PendingRequest oneWay(EnvelopeProto message, long deadlineMs) {
        return new PendingRequest(message, deadlineMs, new CompletableFuture<>(), false);
    }

    /**
     * Returns the message.
     *
     * @return the envelope, without a correlation id
     */
    public EnvelopeProto message() {
        return message;
    }

    /**
     * Returns whether an answer is expected.
     *
     * @return false for a one-way message
     */
    public boolean expectsAnswer() {
        return expectsAnswer;
    }

    /**
     * Returns whether this message need not be sent any more.
     *
     * @param nowMs the current time on the link's clock
     * @return true if it is complete or past its deadline
     */
    public boolean isObsolete(long nowMs) {
        return result.isDone() || nowMs >= deadlineMs;
    }

    /**
     * Returns whether this request completes the given future.
     *
     * @param other the future
     * @return true if it is the future that this request was created with
     */
    public boolean completes(CompletableFuture<RpcResult> other) {
        return result == other;
    }

    /**
     * Completes the request with its answer.
     *
     * @param answer the answer
     */
    public void answered(EnvelopeProto answer) {
        result.complete(new RpcResult.Answered(answer));
    }

    /**
     * Completes the request as not sent.
     *
     * @param reason why it was not sent
     */
    public void notSent(String reason) {
        result.complete(new RpcResult.NotSent(reason));
    }

    /**
     * Completes the request as sent without an answer; the other process may have executed it.
     *
     * @param reason why there is no answer
     */
    public void lost(String reason) {
        result.complete(new RpcResult.Lost(reason));
    }
}
