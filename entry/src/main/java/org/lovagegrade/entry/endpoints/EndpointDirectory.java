package org.lovagegrade.entry.endpoints;

import io.undertow.connector.ByteBufferPool;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagegrade.entry.peers.PeerEntries;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.AnnounceProto;
import org.lovagegrade.wire.proto.AnnounceReplyProto;
import org.lovagegrade.wire.proto.EndpointSummaryProto;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.xnio.XnioWorker;

/**
 * The endpoints that chose this entry as their owner in their announcements. An announcement that names another
 * entry as owner is relayed to that entry. Must be used on the entry's loop only.
 */
public final class EndpointDirectory {
    private static final long SESSION_MS = 3_000;
    private static final long RELAY_TIMEOUT_MS = 800;

    private final EntryMemberProto self;
    private final PeerEntries peers;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final EventLoop loop;
    private final Clock clock;
    private final Map<String, OwnedEndpoint> owned = new TreeMap<>();
    private boolean leaving;
    private Runnable onChange = () -> {};

    /**
     * Creates an empty directory.
     *
     * @param self this entry
     * @param peers the other entries
     * @param worker the I/O threads of the HTTP clients
     * @param buffers the buffer pool of the HTTP clients
     * @param loop the entry's loop
     * @param clock a monotonic clock
     */
    public EndpointDirectory(
            EntryMemberProto self,
            PeerEntries peers,
            XnioWorker worker,
            ByteBufferPool buffers,
            EventLoop loop,
            Clock clock) {
        this.self = self;
        this.peers = peers;
        this.worker = worker;
        this.buffers = buffers;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Sets the listener that runs after each accepted announcement, which may have added or changed an endpoint.
     *
     * @param listener the listener, run on the loop
     */
    public void onChange(Runnable listener) {
        onChange = listener;
    }

    /** Accepts no endpoints from now on and tells those of this entry to choose another owner. */
    public void leave() {
        leaving = true;
    }

    /**
     * Handles an announcement that an endpoint sent to this entry: registers the endpoint, relays the announcement to
     * the entry that owns the endpoint, or names an entry to choose as owner.
     *
     * @param announcement the announcement
     * @param reply receives the reply exactly once
     */
    public void handleAnnouncement(AnnounceProto announcement, Consumer<AnnounceReplyProto> reply) {
        String owner = announcement.getOwner();
        boolean isOwnDomain = announcement.getFailureDomain().equals(self.getFailureDomain());
        if (owner.equals(self.getId())) {
            register(announcement, reply);
        } else if (!owner.isEmpty() && peers.isResponsive(owner) && !peers.isLeaving(owner)) {
            relay(owner, announcement, reply);
        } else if (isOwnDomain && !leaving) {
            reply.accept(redirectTo(self.getId()));
        } else {
            reply.accept(redirectTo(
                    peers.findInFailureDomain(announcement.getFailureDomain()).orElse("")));
        }
    }

    /**
     * Registers or updates the endpoint of an announcement that names this entry as owner. An announcement of an older
     * epoch than the registered one is refused. If this entry is leaving, the reply names another entry to choose.
     *
     * @param announcement the announcement
     * @param reply receives the reply exactly once
     */
    public void register(AnnounceProto announcement, Consumer<AnnounceReplyProto> reply) {
        if (leaving) {
            owned.computeIfPresent(announcement.getEndpoint(), (_id, endpoint) -> {
                endpoint.update(announcement.toBuilder().setLeaving(true).build());
                return endpoint;
            });
            reply.accept(redirectTo(
                    peers.findInFailureDomain(announcement.getFailureDomain()).orElse("")));
            return;
        }
        OwnedEndpoint current = owned.get(announcement.getEndpoint());
        boolean isOutdated = current != null && current.announcement().getEpoch() > announcement.getEpoch();
        if (isOutdated) {
            reply.accept(AnnounceReplyProto.newBuilder().setReason("oldEpoch").build());
            return;
        }
        boolean isSame = current != null
                && current.announcement().getEpoch() == announcement.getEpoch()
                && current.announcement().getPort() == announcement.getPort()
                && current.announcement().getHost().equals(announcement.getHost());
        if (isSame) {
            current.update(announcement);
        } else {
            replace(current, announcement);
        }
        reply.accept(AnnounceReplyProto.newBuilder()
                .setAccepted(true)
                .setOwner(self.getId())
                .setSessionMs(SESSION_MS)
                .build());
        onChange.run();
    }

    /**
     * Returns the endpoints of this entry that serve a service.
     *
     * @param service the name of the service
     * @return those that are responsive and not leaving, ejected ones included
     */
    public List<OwnedEndpoint> serving(String service) {
        List<OwnedEndpoint> serving = new ArrayList<>();
        for (OwnedEndpoint endpoint : owned.values()) {
            if (endpoint.announcement().getService().equals(service) && endpoint.isServing()) {
                serving.add(endpoint);
            }
        }
        return serving;
    }

    /**
     * Finds an endpoint of this entry.
     *
     * @param id the id of the endpoint
     * @return the endpoint, or null if there is none with this id
     */
    public OwnedEndpoint find(String id) {
        return owned.get(id);
    }

    /**
     * Returns the summaries of the endpoints that are sent to other entries.
     *
     * @return one summary for each endpoint
     */
    public List<EndpointSummaryProto> summaries() {
        return owned.values().stream().map(OwnedEndpoint::summary).toList();
    }

    /** Probes idle connections and removes expired endpoints. */
    public void maintain() {
        owned.values().forEach(OwnedEndpoint::probeIdle);
        owned.values().removeIf(endpoint -> {
            if (endpoint.isExpired()) {
                Log.event("endpointGone")
                        .with("endpoint", endpoint.announcement().getEndpoint())
                        .warn();
                endpoint.close();
            }
            return endpoint.isExpired();
        });
    }

    private void replace(OwnedEndpoint previous, AnnounceProto announcement) {
        if (previous != null) {
            previous.close();
        }
        owned.put(
                announcement.getEndpoint(),
                new OwnedEndpoint(self.getId(), announcement, worker, buffers, loop, clock));
        Log.event("endpointTaken")
                .with("endpoint", announcement.getEndpoint())
                .with("service", announcement.getService())
                .with("epoch", announcement.getEpoch())
                .info();
    }

    private void relay(String owner, AnnounceProto announcement, Consumer<AnnounceReplyProto> reply) {
        EnvelopeProto request =
                EnvelopeProto.newBuilder().setAnnounce(announcement).build();
        peers.call(owner, request, RELAY_TIMEOUT_MS)
                .thenAccept(result -> loop.execute(() -> {
                    if (result instanceof RpcResult.Answered answered) {
                        reply.accept(answered.envelope().getAnnounceReply());
                    } else {
                        reply.accept(AnnounceReplyProto.newBuilder()
                                .setReason("ownerSilent")
                                .build());
                    }
                }));
    }

    private static AnnounceReplyProto redirectTo(String entry) {
        return AnnounceReplyProto.newBuilder()
                .setReason(entry.isEmpty() ? "noEntryInDomain" : "chooseOwner")
                .setOwner(entry)
                .build();
    }
}
