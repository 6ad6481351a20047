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
 * Divides each workspace's limit of concurrent calls into grants to the entries, so that the calls that may be in
 * flight never exceed the limit in total.
 *
 * <p>The calls reserved for an entry count until the entry reports fewer, or until its last contact is so long ago
 * that its grants have expired and the calls under them are past their deadlines.
 */
public final class CallGrants {
    private final long expiryMs;
    private final long leaderSinceMs;
    private final Map<String, EntryUsage> usageByEntry = new HashMap<>();

    /** The calls reserved for one entry, and its demand. */
    private static final class EntryUsage {
        private final Map<String, Long> reservedByWorkspace = new HashMap<>();
        private final Map<String, Long> demandByWorkspace = new HashMap<>();
        private long lastContactMs;
    }

    /**
     * Starts with no information on the grants of previous leaders.
     *
     * @param expiryMs how long after its last contact an entry may still have calls in flight, in milliseconds
     * @param nowMs the current monotonic time in milliseconds
     */
    public CallGrants(long expiryMs, long nowMs) {
        this.expiryMs = expiryMs;
        this.leaderSinceMs = nowMs;
    }

    /**
     * Records an entry's report and returns its grants.
     *
     * @param entry the entry's id
     * @param uses per workspace, its calls in flight, its waiting calls and its current grant
     * @param workspaces the configured workspaces
     * @param members all entries that may hold grants, those of previous leaders included
     * @param nowMs the current monotonic time in milliseconds
     * @return a grant for each workspace that has a limit; none at all for an entry that is not a member
     */
    public List<CallGrantProto> grant(
            String entry, List<CallUseProto> uses, List<WorkspaceProto> workspaces, Set<String> members, long nowMs) {
        usageByEntry.values().removeIf(usage -> nowMs - usage.lastContactMs > expiryMs);
        if (!members.contains(entry)) {
            return List.of();
        }
        recordUse(entry, uses, nowMs);
        boolean isUsageComplete =
                nowMs - leaderSinceMs > expiryMs || usageByEntry.keySet().containsAll(members);
        List<CallGrantProto> grants = new ArrayList<>();
        for (WorkspaceProto workspace : workspaces) {
            if (workspace.hasLimitCalls()) {
                grants.add(grantFor(entry, workspace, isUsageComplete));
            }
        }
        return grants;
    }

    private void recordUse(String entry, List<CallUseProto> uses, long nowMs) {
        EntryUsage usage = usageByEntry.computeIfAbsent(entry, _id -> new EntryUsage());
        usage.lastContactMs = nowMs;
        Set<String> reported = new HashSet<>();
        for (CallUseProto use : uses) {
            reported.add(use.getWorkspace());
            usage.reservedByWorkspace.put(use.getWorkspace(), Math.max(use.getGranted(), use.getInFlight()));
            usage.demandByWorkspace.put(use.getWorkspace(), use.getInFlight() + use.getWaiting());
        }
        usage.reservedByWorkspace.keySet().retainAll(reported);
        usage.demandByWorkspace.keySet().retainAll(reported);
    }

    private CallGrantProto grantFor(String entry, WorkspaceProto workspace, boolean isUsageComplete) {
        EntryUsage own = usageByEntry.get(entry);
        long limit = workspace.getLimitCalls();
        long reservedByOthers = 0;
        long totalDemand = 0;
        for (EntryUsage usage : usageByEntry.values()) {
            if (usage != own) {
                reservedByOthers += usage.reservedByWorkspace.getOrDefault(workspace.getId(), 0L);
            }
            totalDemand += usage.demandByWorkspace.getOrDefault(workspace.getId(), 0L);
        }
        long reserved = own.reservedByWorkspace.getOrDefault(workspace.getId(), 0L);
        long demand = own.demandByWorkspace.getOrDefault(workspace.getId(), 0L);
        long free = Math.max(0, limit - reservedByOthers);
        long maxGrant = isUsageComplete ? free : Math.min(free, reserved);
        long granted = Math.min(fairShare(limit, demand, totalDemand), maxGrant);
        own.reservedByWorkspace.put(workspace.getId(), Math.max(reserved, granted));
        return CallGrantProto.newBuilder()
                .setWorkspace(workspace.getId())
                .setCalls(granted)
                .build();
    }

    /**
     * What an entry would get if no call were reserved: its demand and an equal share of the limit that no entry
     * demands. If the total demand exceeds the limit, a share in proportion to its demand.
     */
    private long fairShare(long limit, long demand, long totalDemand) {
        if (totalDemand <= limit) {
            return demand + (limit - totalDemand) / usageByEntry.size();
        }
        long share = limit * demand / totalDemand;
        return demand > 0 ? Math.max(1, share) : 0;
    }
}
