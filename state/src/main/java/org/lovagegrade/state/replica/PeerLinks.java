package org.lovagegrade.state.replica;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.Loops;
import org.lovagegrade.wire.RpcLink;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.RaftMessageProto;

/** The links from one replica to the others, found by their names. */
public final class PeerLinks implements Service {
    /** The name of this service. */
    public static final String NAME = "peerLinks";

    private final Map<String, RpcLink> links = new HashMap<>();

    /**
     * Creates the links; each connects with its first message.
     *
     * @param loops the network threads
     * @param peers the other replicas by name
     * @param clock a monotonic clock
     */
    public PeerLinks(Loops loops, Map<String, Address> peers, Clock clock) {
        peers.forEach((name, address) -> links.put(name, RpcLink.to(loops, address, clock)));
    }

    /**
     * Sends a message to the replica that it is for; one without an address is dropped.
     *
     * @param message the message
     */
    public void send(RaftMessageProto message) {
        RpcLink link = links.get(ReplicaId.parse(message.getTo()).name());
        if (link != null) {
            link.send(EnvelopeProto.newBuilder().setRaft(message).build());
        }
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        links.values().forEach(RpcLink::close);
    }
}
