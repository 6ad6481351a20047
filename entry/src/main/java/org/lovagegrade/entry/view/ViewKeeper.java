package org.lovagegrade.entry.view;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.lovagegrade.entry.state.StateAnswer;
import org.lovagegrade.entry.state.StateClient;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.CallUseProto;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.ViewReplyProto;
import org.lovagegrade.wire.proto.ViewRequestProto;

/**
 * Keeps the configuration in force with its lease. A view never goes back to an older revision; one whose lease is out
 * is no ground to serve keyed work. All methods are for the entry's loop but {@link #view()} and {@link #isFresh()}.
 */
public final class ViewKeeper implements Service {
    /** The name of this service. */
    public static final String NAME = "viewKeeper";

    private static final long POLL_INTERVAL_MS = 300;
    private static final long ASK_TIMEOUT_MS = 1_000;

    private final EntryMemberProto self;
    private final StateClient state;
    private final EventLoop loop;
    private final Clock clock;
    private final List<Runnable> listeners = new ArrayList<>();
    private Supplier<List<CallUseProto>> uses = List::of;
    private volatile View view = View.none();
    private volatile long leaseUntilMs = Long.MIN_VALUE;
    private Map<String, Long> grants = Map.of();
    private List<EntryMemberProto> entries = List.of();
    private boolean asking;

    /**
     * Creates the service.
     *
     * @param self this entry
     * @param state asks the leader
     * @param loop the entry's loop
     * @param clock a monotonic clock
     */
    public ViewKeeper(EntryMemberProto self, StateClient state, EventLoop loop, Clock clock) {
        this.self = self;
        this.state = state;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Sets where the use of call quota is read from.
     *
     * @param source gives the use per workspace
     */
    public void reportUses(Supplier<List<CallUseProto>> source) {
        this.uses = source;
    }

    /**
     * Adds a listener that is told of each new view or grant.
     *
     * @param listener run on the loop
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * The configuration known.
     *
     * @return the latest view
     */
    public View view() {
        return view;
    }

    /**
     * Whether the view is proved to be in force.
     *
     * @return false if keyed work must be refused
     */
    public boolean isFresh() {
        return clock.nowMs() < leaseUntilMs;
    }

    /**
     * The calls of a workspace that may be in flight from here.
     *
     * @param workspace the workspace's id
     * @return the grant, zero once it has lapsed; empty for a workspace without a limit
     */
    public OptionalLong grant(String workspace) {
        boolean isLimited =
                view.workspace(workspace).map(found -> found.hasLimitCalls()).orElse(true);
        if (!isLimited) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(isFresh() ? grants.getOrDefault(workspace, 0L) : 0);
    }

    /**
     * The grants as last received, lapsed or not; what the leader must count.
     *
     * @param workspace the workspace's id
     * @return the grant
     */
    public long lastGrant(String workspace) {
        return grants.getOrDefault(workspace, 0L);
    }

    /**
     * The entries of the fleet.
     *
     * @return the members as last heard
     */
    public List<EntryMemberProto> entries() {
        return entries;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        loop.scheduleWithFixedDelay(POLL_INTERVAL_MS, this::ask);
    }

    @Override
    public void stop() {}

    private void ask() {
        if (asking) {
            return;
        }
        asking = true;
        long askedAtMs = clock.nowMs();
        ViewRequestProto request = ViewRequestProto.newBuilder()
                .setEntry(self)
                .setHaveRevision(view.revision())
                .addAllUses(uses.get())
                .build();
        state.ask(EnvelopeProto.newBuilder().setViewRequest(request).build(), ASK_TIMEOUT_MS, false)
                .thenAccept(answer -> loop.execute(() -> answered(answer, askedAtMs)));
    }

    private void answered(StateAnswer answer, long askedAtMs) {
        asking = false;
        if (!(answer instanceof StateAnswer.Answered answered)) {
            return;
        }
        ViewReplyProto reply = answered.envelope().getViewReply();
        if (reply.getRevision() < view.revision()) {
            return;
        }
        if (reply.hasConfig() && reply.getRevision() > view.revision()) {
            view = View.of(reply.getConfig());
            Log.event("viewInForce")
                    .with("entry", self.getId())
                    .with("revision", view.revision())
                    .info();
        }
        if (reply.getRevision() != view.revision()) {
            return;
        }
        leaseUntilMs = Math.max(leaseUntilMs, askedAtMs + reply.getLeaseMs());
        entries = List.copyOf(reply.getEntriesList());
        Map<String, Long> received = new HashMap<>();
        reply.getGrantsList().forEach(grant -> received.put(grant.getWorkspace(), grant.getCalls()));
        grants = received;
        listeners.forEach(Runnable::run);
    }
}
