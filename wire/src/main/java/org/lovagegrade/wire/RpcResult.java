package org.lovagegrade.wire;

import org.lovagegrade.wire.proto.EnvelopeProto;

/**
 * What became of a request to another process.
 *
 * <p>Example: {@code if (result instanceof RpcResult.NotSent) { retryElsewhere(); }}
 */
public sealed interface RpcResult {
    /**
     * The other process answered.
     *
     * @param envelope the whole answer
     */
    record Answered(EnvelopeProto envelope) implements RpcResult {}

    /**
     * No byte of the request left this process.
     *
     * @param reason why
     */
    record NotSent(String reason) implements RpcResult {}

    /**
     * The request may have arrived, and no answer came.
     *
     * @param reason why
     */
    record Lost(String reason) implements RpcResult {}
}
