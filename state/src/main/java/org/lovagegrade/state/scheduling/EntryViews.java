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

/** Serves entries the current configuration under a view lease, and their grants of concurrent calls. */
public final class EntryViews {
    /** How long an entry may rely on a view, counted from when it sent the request, in milliseconds. */
    public static final long VIEW_LEASE_MS = 3_000;

    /** The longest deadline of a call, in milliseconds. */
    public static final long MAX_CALL_MS = 30_000;

    private static final long CLOCK_DRIFT_MARGIN_MS = 1_000;
    private static final long REMOVE_AFTER_MS = 120_000;

    private final StateMachine machine;
    private final Proposer proposer;
    private final CallGrants grants;
    private final Map<String, Contact> lastContacts = new TreeMap<>();

    /** The entries whose join or leave has been proposed. */
    private final Set<String> pendingChanges = new HashSet<>();

    private final long leaderSinceMs;

    /** An entry's last request. */
    private record Contact(long atMs, long revision) {}

    /**
     * Starts with no information on the requests and grants of previous leaders.
     *
     * @param machine the state machine
     * @param proposer proposes that entries join or leave
     * @param nowMs the current monotonic time in milliseconds
     */
    public EntryViews(StateMachine machine, Proposer proposer, long nowMs) {
        this.machine = machine;
        this.proposer = proposer;
        this.grants = new CallGrants(VIEW_LEASE_MS + MAX_CALL_MS + CLOCK_DRIFT_MARGIN_MS, nowMs);
        this.leaderSinceMs = nowMs;
    }

    /**
     * Answers an entry's view request. Must be called only while the leader lease is valid.
     *
     * @param request the entry's configuration revision and its use of calls
     * @param nowMs the current monotonic time in milliseconds
     * @return the view, with the configuration only if the entry has another revision
     */
    public ViewReplyProto view(ViewRequestProto request, long nowMs) {
        EntryMemberProto entry = request.getEntry();
        lastContacts.put(entry.getId(), new Contact(nowMs, request.getHaveRevision()));
        proposeJoinIfChanged(entry);
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
     * Proposes that entries leave which have been unresponsive for long.
     *
     * @param nowMs the current monotonic time in milliseconds
     */
    public void tick(long nowMs) {
        for (String id : machine.entries().keySet()) {
            Contact last = lastContacts.get(id);
            long unresponsiveMs = nowMs - (last == null ? leaderSinceMs : last.atMs());
            if (unresponsiveMs > REMOVE_AFTER_MS && pendingChanges.add(id)) {
                Log.event("entryLeft").with("entry", id).warn();
                proposer.propose(CommandProto.newBuilder().setEntryLeft(id));
            }
        }
        pendingChanges.removeIf(id -> !machine.entries().containsKey(id)
                && lastContacts.containsKey(id)
                && nowMs - lastContacts.get(id).atMs() > REMOVE_AFTER_MS);
    }

    /**
     * Returns an entry's configuration revision and the time since its last contact.
     *
     * @param member the entry
     * @param nowMs the current monotonic time in milliseconds
     * @return its status; revision 0 and -1 ms if it has not contacted this leader
     */
    public EntryStatusProto status(EntryMemberProto member, long nowMs) {
        Contact last = lastContacts.get(member.getId());
        return EntryStatusProto.newBuilder()
                .setMember(member)
                .setRevision(last == null ? 0 : last.revision())
                .setHeardMsAgo(last == null ? -1 : nowMs - last.atMs())
                .build();
    }

    private void proposeJoinIfChanged(EntryMemberProto entry) {
        boolean isUpToDate = entry.equals(machine.entries().get(entry.getId()));
        if (isUpToDate) {
            pendingChanges.remove(entry.getId());
        } else if (pendingChanges.add(entry.getId())) {
            Log.event("entryJoined").with("entry", entry.getId()).info();
            proposer.propose(CommandProto.newBuilder().setEntryJoined(entry));
        }
    }
}
