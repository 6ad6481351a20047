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

/** The other entries: how to reach them, and what they last said of their endpoints. For the entry's loop only. */
public final class PeerEntries implements Service {
    /** The name of this service. */
    public static final String NAME = "peerEntries";

    private static final long SILENT_AFTER_MS = 3_000;

    private final EntryMemberProto self;
    private final NetworkThreads loops;
    private final Clock clock;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<Address, RpcLink> links = new HashMap<>();

    /** What is known of one entry; the calls passed since its last word are counted here. */
    private static final class Peer {
        private EntryMemberProto member;
        private GossipProto gossip = GossipProto.getDefaultInstance();
        private long heardMs;
        private final Map<String, Long> passedSince = new HashMap<>();
    }

    /**
     * Creates the service.
     *
     * @param self this entry
     * @param loops the network threads
     * @param seeds addresses of entries that may not be known as members yet
     * @param clock a monotonic clock
     */
    public PeerEntries(EntryMemberProto self, NetworkThreads loops, List<Address> seeds, Clock clock) {
        this.self = self;
        this.loops = loops;
        this.clock = clock;
        seeds.forEach(this::link);
    }

    /**
     * Takes the members over from the leader's view.
     *
     * @param members all entries of the fleet
     */
    public void members(List<EntryMemberProto> members) {
        for (EntryMemberProto member : members) {
            if (!member.getId().equals(self.getId())) {
                peers.computeIfAbsent(member.getId(), _id -> new Peer()).member = member;
                link(addressOf(member));
            }
        }
    }

    /**
     * Takes in what a peer says of its endpoints.
     *
     * @param gossip the word
     */
    public void heard(GossipProto gossip) {
        if (gossip.getEntry().getId().equals(self.getId())) {
            return;
        }
        Peer peer = peers.computeIfAbsent(gossip.getEntry().getId(), _id -> new Peer());
        peer.member = gossip.getEntry();
        peer.gossip = gossip;
        peer.heardMs = clock.nowMs();
        peer.passedSince.clear();
        link(addressOf(gossip.getEntry()));
    }

    /**
     * Tells all other entries.
     *
     * @param gossip the word
     */
    public void tellAll(GossipProto gossip) {
        EnvelopeProto envelope = EnvelopeProto.newBuilder().setGossip(gossip).build();
        links.values().forEach(link -> link.send(envelope));
    }

    /**
     * The slots believed to be free at each entry that is heard.
     *
     * @param service the service
     * @return the free slots by the entry's id; an entry that serves it without a free slot is there with zero
     */
    public Map<String, Long> freeSlots(String service) {
        Map<String, Long> free = new HashMap<>();
        for (Map.Entry<String, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            if (!isHeard(peer) || peer.gossip.getLeaving()) {
                continue;
            }
            long sum = 0;
            boolean serves = false;
            for (EndpointSummaryProto endpoint : peer.gossip.getEndpointsList()) {
                if (endpoint.getService().equals(service) && endpoint.getUsable()) {
                    serves = true;
                    sum += endpoint.getFree();
                }
            }
            if (serves) {
                free.put(entry.getKey(), Math.max(0, sum - peer.passedSince.getOrDefault(service, 0L)));
            }
        }
        return free;
    }

    /**
     * Notes that a call was passed to a peer, so that its free slots are not counted on twice.
     *
     * @param entry the peer's id
     * @param service the service
     */
    public void passed(String entry, String service) {
        peers.get(entry).passedSince.merge(service, 1L, Long::sum);
    }

    /**
     * Notes that a peer had no free slot, whatever it last said; its next word corrects this.
     *
     * @param entry the peer's id; others are passed over
     * @param service the service
     */
    public void full(String entry, String service) {
        Peer peer = peers.get(entry);
        if (peer != null) {
            peer.passedSince.put(service, Long.MAX_VALUE / 2);
        }
    }

    /**
     * Whether an entry has been heard lately.
     *
     * @param entry its id
     * @return false for one that is silent or not known
     */
    public boolean isHeard(String entry) {
        return peers.containsKey(entry) && isHeard(peers.get(entry));
    }

    /**
     * Whether an entry that is heard says that it is leaving.
     *
     * @param entry its id
     * @return true if so
     */
    public boolean isLeaving(String entry) {
        return peers.containsKey(entry) && peers.get(entry).gossip.getLeaving();
    }

    /**
     * An entry of a failure domain that is heard and stays.
     *
     * @param failureDomain the failure domain
     * @return its id, or empty
     */
    public Optional<String> anyOf(String failureDomain) {
        return peers.entrySet().stream()
                .filter(entry -> isHeard(entry.getValue()) && !isLeaving(entry.getKey()))
                .filter(entry -> entry.getValue().member.getFailureDomain().equals(failureDomain))
                .map(Map.Entry::getKey)
                .sorted()
                .findFirst();
    }

    /**
     * Asks another entry.
     *
     * @param entry its id
     * @param request the request
     * @param timeoutMs how long to wait, in milliseconds
     * @return completes on the network thread, never exceptionally
     */
    public CompletableFuture<RpcResult> call(String entry, EnvelopeProto request, long timeoutMs) {
        Peer peer = peers.get(entry);
        if (peer == null || peer.member == null) {
            return CompletableFuture.completedFuture(new RpcResult.NotSent("entry " + entry + " is not known"));
        }
        return link(addressOf(peer.member)).call(request, timeoutMs);
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

    private boolean isHeard(Peer peer) {
        return peer.heardMs > 0 && clock.nowMs() - peer.heardMs < SILENT_AFTER_MS;
    }

    private RpcLink link(Address address) {
        return links.computeIfAbsent(address, to -> RpcLink.to(loops, to, clock));
    }

    private static Address addressOf(EntryMemberProto member) {
        return new Address(member.getPeerHost(), member.getPeerPort());
    }
}
