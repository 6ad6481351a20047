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
 * Polls the leader for the configuration in force and its lease. The view never returns to an older revision. Once its
 * lease has expired, requests with a key must be refused. Except for {@link #view()} and {@link #hasValidLease()}, all
 * methods must be called on the entry's loop.
 */
public final class ViewKeeper implements Service {
    /** The name of this service. */
    public static final String NAME = "viewKeeper";

    private static final long POLL_INTERVAL_MS = 300;
    private static final long REQUEST_TIMEOUT_MS = 1_000;

    private final EntryMemberProto self;
    private final StateClient state;
    private final EventLoop loop;
    private final Clock clock;
    private final List<Runnable> listeners = new ArrayList<>();
    private Supplier<List<CallUseProto>> callUses = List::of;
    private volatile ConfigView view = ConfigView.empty();
    private volatile long leaseUntilMs = Long.MIN_VALUE;
    private Map<String, Long> grants = Map.of();
    private List<EntryMemberProto> entries = List.of();
    private boolean requestPending;

    /**
     * Creates the service.
     *
     * @param self this entry
     * @param state the client of the state replicas
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
     * Sets the source of the call use that is reported to the leader with each poll.
     *
     * @param source supplies the call use per workspace
     */
    public void setCallUseSource(Supplier<List<CallUseProto>> source) {
        this.callUses = source;
    }

    /**
     * Adds a listener that runs after each accepted answer of the leader.
     *
     * @param listener the listener, run on the loop
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Returns the last received configuration.
     *
     * @return the latest view
     */
    public ConfigView view() {
        return view;
    }

    /**
     * Returns whether the lease of the view is valid, which proves that the view is in force.
     *
     * @return false if requests with a key must be refused
     */
    public boolean hasValidLease() {
        return clock.nowMs() < leaseUntilMs;
    }

    /**
     * Returns how many calls of a workspace may be in flight from this entry.
     *
     * @param workspace the id of the workspace
     * @return the grant, 0 once the lease has expired; empty for a workspace without a limit
     */
    public OptionalLong grant(String workspace) {
        boolean isLimited =
                view.workspace(workspace).map(found -> found.hasLimitCalls()).orElse(true);
        if (!isLimited) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(hasValidLease() ? grants.getOrDefault(workspace, 0L) : 0);
    }

    /**
     * Returns the last received grant of a workspace, expired or not, which the leader must still count.
     *
     * @param workspace the id of the workspace
     * @return the grant
     */
    public long lastGrant(String workspace) {
        return grants.getOrDefault(workspace, 0L);
    }

    /**
     * Returns the entries of the fleet.
     *
     * @return the members in the last answer of the leader
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
        loop.scheduleWithFixedDelay(POLL_INTERVAL_MS, this::poll);
    }

    @Override
    public void stop() {}

    private void poll() {
        if (requestPending) {
            return;
        }
        requestPending = true;
        long sentAtMs = clock.nowMs();
        ViewRequestProto request = ViewRequestProto.newBuilder()
                .setEntry(self)
                .setHaveRevision(view.revision())
                .addAllUses(callUses.get())
                .build();
        state.ask(EnvelopeProto.newBuilder().setViewRequest(request).build(), REQUEST_TIMEOUT_MS, false)
                .thenAccept(answer -> loop.execute(() -> onAnswer(answer, sentAtMs)));
    }

    private void onAnswer(StateAnswer answer, long sentAtMs) {
        requestPending = false;
        if (!(answer instanceof StateAnswer.Answered answered)) {
            return;
        }
        ViewReplyProto reply = answered.envelope().getViewReply();
        if (reply.getRevision() < view.revision()) {
            return;
        }
        if (reply.hasConfig() && reply.getRevision() > view.revision()) {
            view = ConfigView.of(reply.getConfig());
            Log.event("viewInForce")
                    .with("entry", self.getId())
                    .with("revision", view.revision())
                    .info();
        }
        if (reply.getRevision() != view.revision()) {
            return;
        }
        leaseUntilMs = Math.max(leaseUntilMs, sentAtMs + reply.getLeaseMs());
        entries = List.copyOf(reply.getEntriesList());
        Map<String, Long> received = new HashMap<>();
        reply.getGrantsList().forEach(grant -> received.put(grant.getWorkspace(), grant.getCalls()));
        grants = received;
        listeners.forEach(Runnable::run);
    }
}
