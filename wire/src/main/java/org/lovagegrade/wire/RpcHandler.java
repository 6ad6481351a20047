package org.lovagegrade.wire;

import java.util.function.Consumer;
import org.lovagegrade.wire.proto.EnvelopeProto;

/** Takes requests from other processes; runs on the network thread and must not block. */
@FunctionalInterface
public interface RpcHandler {
    /**
     * Takes one request.
     *
     * @param request the request
     * @param reply takes the answer, at most once, from any thread; unused for one-way messages
     */
    void handle(EnvelopeProto request, Consumer<EnvelopeProto> reply);
}
