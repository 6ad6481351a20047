package org.lovagegrade.wire;

import org.lovagegrade.wire.proto.EnvelopeProto;

/**
 * The result of a request to another process.
 *
 * <p>Example: {@code if (result instanceof RpcResult.NotSent) { retryElsewhere(); }}
 */
public sealed interface RpcResult {
    /**
     * The other process answered.
     *
     * @param envelope the answer
     */
    record Answered(EnvelopeProto envelope) implements RpcResult {}

    /**
     * No byte of the request was sent, so the other process can't have executed it.
     *
     * @param reason why it was not sent
     */
    record NotSent(String reason) implements RpcResult {}

    /**
     * The request may have been sent, but no answer was received; the other process may have executed it.
     *
     * @param reason why there is no answer
     */
    record Lost(String reason) implements RpcResult {}
}
