package org.lovagegrade.state.scheduling;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.EntryStatusProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;
import org.lovagegrade.wire.proto.ViewReplyProto;
import org.lovagegrade.wire.proto.ViewRequestProto;

/** Gives entries the configuration in force with a view lease, and their grants of call quota. */
public final class EntryViews {
    /** How long an entry may go by a view, counted from when it asked, in milliseconds. */
    public static final long VIEW_LEASE_MS = 3_000;

    /** The longest deadline of a call, in milliseconds. */
    public static final long LONGEST_CALL_MS = 30_000;

    private static final long DRIFT_MARGIN_MS = 1_000;
    private static final long FORGET_AFTER_MS = 120_000;

    private final StateMachine machine;
    private final Proposer proposer;
    private final CallGrants grants;
    private final Map<String, Heard> heard = new TreeMap<>();
    private final Set<String> joining = new HashSet<>();
    private final long ledSinceMs;

    /** What an entry last said. */
    private record Heard(long atMs, long revision) {}

    /**
     * Begins without knowledge of what former leaders granted.
     *
     * @param machine the state
     * @param proposer takes joins and leaves into the log
     * @param nowMs the present time in milliseconds
     */
    public EntryViews(StateMachine machine, Proposer proposer, long nowMs) {
        this.machine = machine;
        this.proposer = proposer;
        this.grants = new CallGrants(VIEW_LEASE_MS + LONGEST_CALL_MS + DRIFT_MARGIN_MS, nowMs);
        this.ledSinceMs = nowMs;
    }

    /**
     * Answers an entry; must be called only while the leader lease is good.
     *
     * @param request what the entry has and uses
     * @param nowMs the present time in milliseconds
     * @return the view, with the configuration only if the entry's is older
     */
    public ViewReplyProto view(ViewRequestProto request, long nowMs) {
        EntryMemberProto entry = request.getEntry();
        heard.put(entry.getId(), new Heard(nowMs, request.getHaveRevision()));
        joinIfNew(entry);
        ViewReplyProto.Builder reply = ViewReplyProto.newBuilder()
                .setStatus(OutcomeStatusProto.OK)
                .setRevision(machine.revision())
                .setLeaseMs(VIEW_LEASE_MS)
                .addAllEntries(machine.entries().values());
        if (request.getHaveRevision() != machine.revision()) {
            reply.setConfig(machine.configView());
        }
        reply.addAllGrants(grants.grant(
                entry.getId(),
                request.getUsesList(),
                machine.configView().getWorkspacesList(),
                machine.entries().keySet(),
                nowMs));
        return reply.build();
    }

    /**
     * Lets entries leave that have been silent for long.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        for (String id : machine.entries().keySet()) {
            Heard last = heard.get(id);
            long silentMs = nowMs - (last == null ? ledSinceMs : last.atMs());
            if (silentMs > FORGET_AFTER_MS && joining.add(id)) {
                Log.event("entryLeft").with("entry", id).warn();
                proposer.propose(CommandProto.newBuilder().setEntryLeft(id));
            }
        }
        joining.removeIf(id -> !machine.entries().containsKey(id)
                && heard.containsKey(id)
                && nowMs - heard.get(id).atMs() > FORGET_AFTER_MS);
    }

    /**
     * Tells how far an entry is.
     *
     * @param member the entry
     * @param nowMs the present time in milliseconds
     * @return its status
     */
    public EntryStatusProto status(EntryMemberProto member, long nowMs) {
        Heard last = heard.get(member.getId());
        return EntryStatusProto.newBuilder()
                .setMember(member)
                .setRevision(last == null ? 0 : last.revision())
                .setHeardMsAgo(last == null ? -1 : nowMs - last.atMs())
                .build();
    }

    private void joinIfNew(EntryMemberProto entry) {
        boolean isKnown = entry.equals(machine.entries().get(entry.getId()));
        if (isKnown) {
            joining.remove(entry.getId());
        } else if (joining.add(entry.getId())) {
            Log.event("entryJoined").with("entry", entry.getId()).info();
            proposer.propose(CommandProto.newBuilder().setEntryJoined(entry));
        }
    }
}
