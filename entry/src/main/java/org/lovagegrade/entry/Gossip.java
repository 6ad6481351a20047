package org.lovagegrade.entry;

import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.peers.PeerEntries;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.GossipProto;

/** Tells the other entries of this entry's endpoints: soon after a change, and now and then without one. */
public final class Gossip implements Service {
    /** The name of this service. */
    public static final String NAME = "gossip";

    private static final long CHANGE_INTERVAL_MS = 100;
    private static final long QUIET_INTERVAL_MS = 1_000;

    private final EntryMemberProto self;
    private final EndpointDirectory directory;
    private final PeerEntries peers;
    private final EventLoop loop;
    private final Clock clock;
    private GossipProto last = GossipProto.getDefaultInstance();
    private long toldMs;
    private boolean leaving;

    /**
     * Creates the service.
     *
     * @param self this entry
     * @param directory the own endpoints
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

    /** Tells the others from now on that this entry is leaving. */
    public void leave() {
        leaving = true;
        tell();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        loop.scheduleWithFixedDelay(CHANGE_INTERVAL_MS, this::tell);
    }

    @Override
    public void stop() {}

    private void tell() {
        GossipProto present = GossipProto.newBuilder()
                .setEntry(self)
                .addAllEndpoints(directory.summaries())
                .setLeaving(leaving)
                .build();
        boolean isQuiet = present.equals(last) && clock.nowMs() - toldMs < QUIET_INTERVAL_MS;
        if (!isQuiet) {
            last = present;
            toldMs = clock.nowMs();
            peers.tellAll(present);
        }
    }
}
