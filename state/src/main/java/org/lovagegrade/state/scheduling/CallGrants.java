package org.lovagegrade.state.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.wire.proto.CallGrantProto;
import org.lovagegrade.wire.proto.CallUseProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/**
 * Splits each workspace's limit on calls into grants to entries, so that the sum of what may run never passes the limit.
 *
 * <p>What an entry may be running counts until it has said otherwise, or until it has been silent for so long that its
 * grants have lapsed and the calls under them have passed their deadlines.
 */
public final class CallGrants {
    private final long lapseMs;
    private final long ledSinceMs;
    private final Map<String, Holding> holdings = new HashMap<>();

    /** What one entry may be running. */
    private static final class Holding {
        private final Map<String, Long> heldByWorkspace = new HashMap<>();
        private final Map<String, Long> wantedByWorkspace = new HashMap<>();
        private long heardMs;
    }

    /**
     * Begins without knowledge of what former leaders granted.
     *
     * @param lapseMs how long after its last word an entry may still be running calls, in milliseconds
     * @param nowMs the present time in milliseconds
     */
    public CallGrants(long lapseMs, long nowMs) {
        this.lapseMs = lapseMs;
        this.ledSinceMs = nowMs;
    }

    /**
     * Answers an entry's report with its grants.
     *
     * @param entry the entry's id
     * @param uses what it runs, wants and was granted
     * @param workspaces the workspaces as configured
     * @param members all entries that may hold grants of former leaders
     * @param nowMs the present time in milliseconds
     * @return a grant for each workspace that has a limit
     */
    public List<CallGrantProto> grant(
            String entry, List<CallUseProto> uses, List<WorkspaceProto> workspaces, Set<String> members, long nowMs) {
        holdings.values().removeIf(holding -> nowMs - holding.heardMs > lapseMs);
        if (!members.contains(entry)) {
            return List.of();
        }
        note(entry, uses, nowMs);
        boolean knowsAll = nowMs - ledSinceMs > lapseMs || holdings.keySet().containsAll(members);
        List<CallGrantProto> grants = new ArrayList<>();
        for (WorkspaceProto workspace : workspaces) {
            if (workspace.hasLimitCalls()) {
                grants.add(grantFor(entry, workspace, knowsAll));
            }
        }
        return grants;
    }

    private void note(String entry, List<CallUseProto> uses, long nowMs) {
        Holding holding = holdings.computeIfAbsent(entry, _id -> new Holding());
        holding.heardMs = nowMs;
        Set<String> reported = new HashSet<>();
        for (CallUseProto use : uses) {
            reported.add(use.getWorkspace());
            holding.heldByWorkspace.put(use.getWorkspace(), Math.max(use.getGranted(), use.getInFlight()));
            holding.wantedByWorkspace.put(use.getWorkspace(), use.getInFlight() + use.getWaiting());
        }
        holding.heldByWorkspace.keySet().retainAll(reported);
        holding.wantedByWorkspace.keySet().retainAll(reported);
    }

    private CallGrantProto grantFor(String entry, WorkspaceProto workspace, boolean knowsAll) {
        Holding own = holdings.get(entry);
        long limit = workspace.getLimitCalls();
        long heldByOthers = 0;
        long wantedByAll = 0;
        for (Holding holding : holdings.values()) {
            if (holding != own) {
                heldByOthers += holding.heldByWorkspace.getOrDefault(workspace.getId(), 0L);
            }
            wantedByAll += holding.wantedByWorkspace.getOrDefault(workspace.getId(), 0L);
        }
        long held = own.heldByWorkspace.getOrDefault(workspace.getId(), 0L);
        long wanted = own.wantedByWorkspace.getOrDefault(workspace.getId(), 0L);
        long free = Math.max(0, limit - heldByOthers);
        long most = knowsAll ? free : Math.min(free, held);
        long granted = Math.min(fairPart(limit, wanted, wantedByAll), most);
        own.heldByWorkspace.put(workspace.getId(), Math.max(held, granted));
        return CallGrantProto.newBuilder()
                .setWorkspace(workspace.getId())
                .setCalls(granted)
                .build();
    }

    /** What an entry would get if all were free: what it wants, and a part of what nobody wants. */
    private long fairPart(long limit, long wanted, long wantedByAll) {
        if (wantedByAll <= limit) {
            return wanted + (limit - wantedByAll) / holdings.size();
        }
        long part = limit * wanted / wantedByAll;
        return wanted > 0 ? Math.max(1, part) : 0;
    }
}
