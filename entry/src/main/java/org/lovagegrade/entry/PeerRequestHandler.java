package org.lovagegrade.entry;

import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.calls.ForwardedCalls;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.peers.PeerEntries;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.wire.proto.EnvelopeProto;

/** Handles the requests of other entries. */
final class PeerRequestHandler {
    private final CallService calls;
    private final EndpointDirectory directory;
    private final PeerEntries peers;
    private final EventLoop loop;
    private final Clock clock;

    PeerRequestHandler(CallService calls, EndpointDirectory directory, PeerEntries peers, EventLoop loop, Clock clock) {
        this.calls = calls;
        this.directory = directory;
        this.peers = peers;
        this.loop = loop;
        this.clock = clock;
    }

    void handle(EnvelopeProto request, Consumer<EnvelopeProto> reply) {
        loop.execute(() -> dispatch(request, reply));
    }

    private void dispatch(EnvelopeProto request, Consumer<EnvelopeProto> reply) {
        switch (request.getBodyCase()) {
            case GOSSIP -> peers.receive(request.getGossip());
            case ANNOUNCE ->
                directory.register(
                        request.getAnnounce(),
                        answer -> reply.accept(EnvelopeProto.newBuilder()
                                .setAnnounceReply(answer)
                                .build()));
            case PASSED_CALL ->
                calls.submitForwarded(
                        ForwardedCalls.toRequest(request.getPassedCall(), clock.nowMs()),
                        outcome -> reply.accept(EnvelopeProto.newBuilder()
                                .setPassedCallReply(ForwardedCalls.toReply(outcome))
                                .build()));
            default -> {}
        }
    }
}
