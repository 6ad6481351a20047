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
 * The endpoints that chose this entry, by their own announcements. An announcement that came to the wrong entry is
 * relayed to the right one. For the entry's loop only.
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
     * @param worker the network threads of HTTP
     * @param buffers the buffers of HTTP
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
     * Sets what is run when endpoints come, leave or change.
     *
     * @param listener run on the loop
     */
    public void onChange(Runnable listener) {
        onChange = listener;
    }

    /** Takes no new endpoints from now on and tells the present ones to choose another owner. */
    public void leave() {
        leaving = true;
    }

    /**
     * Takes an announcement that came from the endpoint itself, to any entry.
     *
     * @param announcement the announcement
     * @param reply takes the answer, once
     */
    public void announced(AnnounceProto announcement, Consumer<AnnounceReplyProto> reply) {
        String owner = announcement.getOwner();
        boolean isOwnDomain = announcement.getFailureDomain().equals(self.getFailureDomain());
        if (owner.equals(self.getId())) {
            take(announcement, reply);
        } else if (!owner.isEmpty() && peers.isHeard(owner) && !peers.isLeaving(owner)) {
            relay(owner, announcement, reply);
        } else if (isOwnDomain && !leaving) {
            reply.accept(choose(self.getId()));
        } else {
            reply.accept(choose(peers.anyOf(announcement.getFailureDomain()).orElse("")));
        }
    }

    /**
     * Takes an announcement that names this entry as the owner.
     *
     * @param announcement the announcement
     * @param reply takes the answer, once
     */
    public void take(AnnounceProto announcement, Consumer<AnnounceReplyProto> reply) {
        if (leaving) {
            owned.computeIfPresent(announcement.getEndpoint(), (_id, endpoint) -> {
                endpoint.heard(announcement.toBuilder().setLeaving(true).build());
                return endpoint;
            });
            reply.accept(choose(peers.anyOf(announcement.getFailureDomain()).orElse("")));
            return;
        }
        OwnedEndpoint present = owned.get(announcement.getEndpoint());
        boolean isOld = present != null && present.announced().getEpoch() > announcement.getEpoch();
        if (isOld) {
            reply.accept(AnnounceReplyProto.newBuilder().setReason("oldEpoch").build());
            return;
        }
        boolean isSame = present != null
                && present.announced().getEpoch() == announcement.getEpoch()
                && present.announced().getPort() == announcement.getPort()
                && present.announced().getHost().equals(announcement.getHost());
        if (isSame) {
            present.heard(announcement);
        } else {
            replace(present, announcement);
        }
        reply.accept(AnnounceReplyProto.newBuilder()
                .setAccepted(true)
                .setOwner(self.getId())
                .setSessionMs(SESSION_MS)
                .build());
        onChange.run();
    }

    /**
     * The endpoints that serve a service from here.
     *
     * @param service the service
     * @return those that are heard and not leaving, ejected ones included
     */
    public List<OwnedEndpoint> serving(String service) {
        List<OwnedEndpoint> serving = new ArrayList<>();
        for (OwnedEndpoint endpoint : owned.values()) {
            if (endpoint.announced().getService().equals(service) && endpoint.isServing()) {
                serving.add(endpoint);
            }
        }
        return serving;
    }

    /**
     * Finds an endpoint.
     *
     * @param id its id
     * @return the endpoint, or null
     */
    public OwnedEndpoint find(String id) {
        return owned.get(id);
    }

    /**
     * What other entries are told.
     *
     * @return a summary of each endpoint
     */
    public List<EndpointSummaryProto> summaries() {
        return owned.values().stream().map(OwnedEndpoint::summary).toList();
    }

    /** Probes idle connections and forgets endpoints that are gone. */
    public void maintain() {
        owned.values().forEach(OwnedEndpoint::probeIdle);
        owned.values().removeIf(endpoint -> {
            if (endpoint.isGone()) {
                Log.event("endpointGone")
                        .with("endpoint", endpoint.announced().getEndpoint())
                        .warn();
                endpoint.close();
            }
            return endpoint.isGone();
        });
    }

    private void replace(OwnedEndpoint former, AnnounceProto announcement) {
        if (former != null) {
            former.close();
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

    private static AnnounceReplyProto choose(String entry) {
        return AnnounceReplyProto.newBuilder()
                .setReason(entry.isEmpty() ? "noEntryInDomain" : "chooseOwner")
                .setOwner(entry)
                .build();
    }
}
