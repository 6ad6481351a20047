package org.lovagegrade.state.replica;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;
import org.lovagegrade.wire.RpcLink;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.RaftMessageProto;

/** The links from one replica to the others, made when first used and found by the replicas' names. */
public final class PeerLinks implements Service {
    /** The name of this service. */
    public static final String NAME = "peerLinks";

    private final Map<String, RpcLink> links = new ConcurrentHashMap<>();
    private final NetworkThreads loops;
    private final Function<String, Optional<Address>> addresses;
    private final Clock clock;

    /**
     * Creates the links; each connects with its first message.
     *
     * @param loops the network threads
     * @param addresses finds the address of a replica by its name
     * @param clock a monotonic clock
     */
    public PeerLinks(NetworkThreads loops, Function<String, Optional<Address>> addresses, Clock clock) {
        this.loops = loops;
        this.addresses = addresses;
        this.clock = clock;
    }

    /**
     * Sends a message to the replica that it is for; one without an address is dropped.
     *
     * @param message the message
     */
    public void send(RaftMessageProto message) {
        to(ReplicaId.parse(message.getTo()).name())
                .ifPresent(link ->
                        link.send(EnvelopeProto.newBuilder().setRaft(message).build()));
    }

    /**
     * Finds the link to a replica.
     *
     * @param name the replica's name
     * @return the link, or empty if it has no address
     */
    public Optional<RpcLink> to(String name) {
        return addresses
                .apply(name)
                .map(address -> links.computeIfAbsent(name, _name -> RpcLink.to(loops, address, clock)));
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
