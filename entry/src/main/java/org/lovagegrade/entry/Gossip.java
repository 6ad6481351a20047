package org.lovagegrade.entry;

import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.peers.PeerEntries;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.GossipProto;

/**
 * Sends the state of this entry's endpoints to the other entries: soon after a change, and periodically without one.
 */
public final class Gossip implements Service {
    /** The name of this service. */
    public static final String NAME = "gossip";

    private static final long CHANGE_INTERVAL_MS = 100;
    private static final long UNCHANGED_INTERVAL_MS = 1_000;

    private final EntryMemberProto self;
    private final EndpointDirectory directory;
    private final PeerEntries peers;
    private final EventLoop loop;
    private final Clock clock;
    private GossipProto lastSent = GossipProto.getDefaultInstance();
    private long lastSentMs;
    private boolean leaving;

    /**
     * Creates the service.
     *
     * @param self this entry
     * @param directory the endpoints that this entry owns
     * @param peers the other entries
     * @param loop the entry's loop
     * @param clock a monotonic clock
     */
    public Gossip(EntryMemberProto self, EndpointDirectory directory, PeerEntries peers, EventLoop loop, Clock clock) {
        this.self = self;
        this.directory = directory;
        this.peers = peers;
        this.loop = loop;
        this.clock = clock;
    }

    /** States in all gossip from now on that this entry is leaving. */
    public void leave() {
        leaving = true;
        send();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        loop.scheduleWithFixedDelay(CHANGE_INTERVAL_MS, this::send);
    }

    @Override
    public void stop() {}

    private void send() {
        GossipProto current = GossipProto.newBuilder()
                .setEntry(self)
                .addAllEndpoints(directory.summaries())
                .setLeaving(leaving)
                .build();
        boolean isRecentlySent = current.equals(lastSent) && clock.nowMs() - lastSentMs < UNCHANGED_INTERVAL_MS;
        if (!isRecentlySent) {
            lastSent = current;
            lastSentMs = clock.nowMs();
            peers.broadcast(current);
        }
    }
}
