package org.lovagegrade.wire.internal;

import java.util.concurrent.CompletableFuture;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.EnvelopeProto;

/** A message on its way over a link, and who waits for its answer. */
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
     * A request whose answer is awaited.
     *
     * @param message the request
     * @param deadlineMs when it is of no more use, on the link's clock
     * @param result completed with what became of it
     * @return the request
     */
    public static PendingRequest expecting(
            EnvelopeProto message, long deadlineMs, CompletableFuture<RpcResult> result) {
        return new PendingRequest(message, deadlineMs, result, true);
    }

    /**
     * A message without an answer.
     *
     * @param message the message
     * @param deadlineMs when it is of no more use, on the link's clock
     * @return the message
     */
    public static PendingRequest oneWay(EnvelopeProto message, long deadlineMs) {
        return new PendingRequest(message, deadlineMs, new CompletableFuture<>(), false);
    }

    /**
     * The message itself.
     *
     * @return the envelope, without a correlation id
     */
    public EnvelopeProto message() {
        return message;
    }

    /**
     * Whether an answer is awaited.
     *
     * @return false for a one-way message
     */
    public boolean expectsAnswer() {
        return expectsAnswer;
    }

    /**
     * Whether there is no more use in sending this.
     *
     * @param nowMs the present time on the link's clock
     * @return true if it is complete or past its deadline
     */
    public boolean isDone(long nowMs) {
        return result.isDone() || nowMs >= deadlineMs;
    }

    /**
     * Whether this request completes the given future.
     *
     * @param other the future
     * @return true if it is the one that this request was made with
     */
    public boolean completes(CompletableFuture<RpcResult> other) {
        return result == other;
    }

    /**
     * Completes with an answer.
     *
     * @param answer the answer
     */
    public void answered(EnvelopeProto answer) {
        result.complete(new RpcResult.Answered(answer));
    }

    /**
     * Completes as never sent.
     *
     * @param reason why
     */
    public void notSent(String reason) {
        result.complete(new RpcResult.NotSent(reason));
    }

    /**
     * Completes as perhaps received.
     *
     * @param reason why no answer came
     */
    public void lost(String reason) {
        result.complete(new RpcResult.Lost(reason));
    }
}
