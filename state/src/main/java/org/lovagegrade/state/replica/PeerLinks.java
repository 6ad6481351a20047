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

/** The connections of a replica to the others, by replica name; each is created when it is first used. */
public final class PeerLinks implements Service {
    /** The name of this service. */
    public static final String NAME = "peerLinks";

    private final Map<String, RpcLink> links = new ConcurrentHashMap<>();
    private final NetworkThreads loops;
    private final Function<String, Optional<Address>> addresses;
    private final Clock clock;

    /**
     * Creates the service without connections.
     *
     * @param loops the network threads
     * @param addresses resolves a replica's name to its address
     * @param clock a monotonic clock
     */
    public PeerLinks(NetworkThreads loops, Function<String, Optional<Address>> addresses, Clock clock) {
        this.loops = loops;
        this.addresses = addresses;
        this.clock = clock;
    }

    /**
     * Sends a message to its destination replica. Drops the message if that replica has no known address.
     *
     * @param message the message
     */
    public void send(RaftMessageProto message) {
        linkTo(ReplicaId.parse(message.getTo()).name())
                .ifPresent(link ->
                        link.send(EnvelopeProto.newBuilder().setRaft(message).build()));
    }

    /**
     * Returns the link to a replica.
     *
     * @param name the replica's name
     * @return the link, or empty if the replica has no known address
     */
    public Optional<RpcLink> linkTo(String name) {
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
