package org.lovagegrade.wire;

import java.util.function.Consumer;
import org.lovagegrade.wire.proto.EnvelopeProto;

/** Handles requests from other processes; runs on a network thread and must not block. */
@FunctionalInterface
public interface RpcHandler {
    /**
     * Handles one request.
     *
     * @param request the request
     * @param reply sends the answer; to be called at most once, from any thread, and not for one-way messages
     */
    void handle(EnvelopeProto request, Consumer<EnvelopeProto> reply);
}
