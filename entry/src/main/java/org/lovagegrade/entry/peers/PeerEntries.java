package org.lovagegrade.entry.peers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;
import org.lovagegrade.wire.RpcLink;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.EndpointSummaryProto;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.GossipProto;

/**
 * The other entries: links to them, and the state of their endpoints from their last gossip. Must be used on the
 * entry's loop only.
 */
public final class PeerEntries implements Service {
    /** The name of this service. */
    public static final String NAME = "peerEntries";

    private static final long UNRESPONSIVE_AFTER_MS = 3_000;

    private final EntryMemberProto self;
    private final NetworkThreads networkThreads;
    private final Clock clock;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<Address, RpcLink> links = new HashMap<>();

    /** The state known of one entry, with the number of calls per service forwarded to it since its last gossip. */
    private static final class Peer {
        private EntryMemberProto member;
        private GossipProto gossip = GossipProto.getDefaultInstance();
        private long lastContactMs;
        private final Map<String, Long> forwardedSinceGossip = new HashMap<>();
    }

    /**
     * Creates the service.
     *
     * @param self this entry
     * @param networkThreads the network threads
     * @param seeds the addresses of entries to contact before they are known as members
     * @param clock a monotonic clock
     */
    public PeerEntries(EntryMemberProto self, NetworkThreads networkThreads, List<Address> seeds, Clock clock) {
        this.self = self;
        this.networkThreads = networkThreads;
        this.clock = clock;
        seeds.forEach(this::linkTo);
    }

    /**
     * Adds the entries that the leader knows as members.
     *
     * @param members all entries of the fleet
     */
    public void addMembers(List<EntryMemberProto> members) {
        for (EntryMemberProto member : members) {
            if (!member.getId().equals(self.getId())) {
                peers.computeIfAbsent(member.getId(), _id -> new Peer()).member = member;
                linkTo(addressOf(member));
            }
        }
    }

    /**
     * Stores the gossip of another entry and records the contact with it.
     *
     * @param gossip the message
     */
    public void receive(GossipProto gossip) {
        if (gossip.getEntry().getId().equals(self.getId())) {
            return;
        }
        Peer peer = peers.computeIfAbsent(gossip.getEntry().getId(), _id -> new Peer());
        peer.member = gossip.getEntry();
        peer.gossip = gossip;
        peer.lastContactMs = clock.nowMs();
        peer.forwardedSinceGossip.clear();
        linkTo(addressOf(gossip.getEntry()));
    }

    /**
     * Sends gossip to all other entries.
     *
     * @param gossip the message
     */
    public void broadcast(GossipProto gossip) {
        EnvelopeProto envelope = EnvelopeProto.newBuilder().setGossip(gossip).build();
        links.values().forEach(link -> link.send(envelope));
    }

    /**
     * Returns the free slots at each responsive entry that serves a service: those of its last gossip less the calls
     * forwarded to it since.
     *
     * @param service the name of the service
     * @return the number of free slots by the id of the entry; 0 for an entry without a free slot
     */
    public Map<String, Long> freeSlots(String service) {
        Map<String, Long> freeByEntry = new HashMap<>();
        for (Map.Entry<String, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            if (!isResponsive(peer) || peer.gossip.getLeaving()) {
                continue;
            }
            long freeSlots = 0;
            boolean isServing = false;
            for (EndpointSummaryProto endpoint : peer.gossip.getEndpointsList()) {
                if (endpoint.getService().equals(service) && endpoint.getUsable()) {
                    isServing = true;
                    freeSlots += endpoint.getFree();
                }
            }
            if (isServing) {
                freeByEntry.put(
                        entry.getKey(), Math.max(0, freeSlots - peer.forwardedSinceGossip.getOrDefault(service, 0L)));
            }
        }
        return freeByEntry;
    }

    /**
     * Records that a call was forwarded to a peer, so that the same free slot is not used twice.
     *
     * @param entry the id of the peer
     * @param service the name of the service
     */
    public void callForwarded(String entry, String service) {
        peers.get(entry).forwardedSinceGossip.merge(service, 1L, Long::sum);
    }

    /**
     * Records that a peer had no free slot, whatever its last gossip states; its next gossip replaces this.
     *
     * @param entry the id of the peer; unknown ids are ignored
     * @param service the name of the service
     */
    public void markFull(String entry, String service) {
        Peer peer = peers.get(entry);
        if (peer != null) {
            peer.forwardedSinceGossip.put(service, Long.MAX_VALUE / 2);
        }
    }

    /**
     * Returns whether gossip of an entry was received recently.
     *
     * @param entry the id of the entry
     * @return false if the entry is unresponsive or unknown
     */
    public boolean isResponsive(String entry) {
        return peers.containsKey(entry) && isResponsive(peers.get(entry));
    }

    /**
     * Returns whether the last gossip of an entry states that it is leaving.
     *
     * @param entry the id of the entry
     * @return true if it is leaving
     */
    public boolean isLeaving(String entry) {
        return peers.containsKey(entry) && peers.get(entry).gossip.getLeaving();
    }

    /**
     * Finds an entry of a failure domain that is responsive and not leaving.
     *
     * @param failureDomain the name of the failure domain
     * @return the id of the entry, or empty if there is none
     */
    public Optional<String> findInFailureDomain(String failureDomain) {
        return peers.entrySet().stream()
                .filter(entry -> isResponsive(entry.getValue()) && !isLeaving(entry.getKey()))
                .filter(entry -> entry.getValue().member.getFailureDomain().equals(failureDomain))
                .map(Map.Entry::getKey)
                .sorted()
                .findFirst();
    }

    /**
     * Sends a request to another entry.
     *
     * @param entry the id of the entry
     * @param request the request
     * @param timeoutMs the time to wait for the answer, in milliseconds
     * @return a future that completes on a network thread, never exceptionally
     */
    public CompletableFuture<RpcResult> call(String entry, EnvelopeProto request, long timeoutMs) {
        Peer peer = peers.get(entry);
        if (peer == null || peer.member == null) {
            return CompletableFuture.completedFuture(new RpcResult.NotSent("entry " + entry + " is not known"));
        }
        return linkTo(addressOf(peer.member)).call(request, timeoutMs);
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

    private boolean isResponsive(Peer peer) {
        return peer.lastContactMs > 0 && clock.nowMs() - peer.lastContactMs < UNRESPONSIVE_AFTER_MS;
    }

    private RpcLink linkTo(Address address) {
        return links.computeIfAbsent(address, to -> RpcLink.to(networkThreads, to, clock));
    }

    private static Address addressOf(EntryMemberProto member) {
        return new Address(member.getPeerHost(), member.getPeerPort());
    }
}
