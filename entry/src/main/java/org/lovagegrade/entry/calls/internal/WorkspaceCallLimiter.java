package org.lovagegrade.entry.calls.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.wire.proto.CallUseProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/** Counts each workspace's calls in flight from this entry and keeps them within its grant. */
public final class WorkspaceCallLimiter {
    private final ViewKeeper views;
    private final Map<String, Long> inFlight = new TreeMap<>();
    private final Map<String, Long> forwarded = new TreeMap<>();

    /**
     * Creates the gates, all empty.
     *
     * @param views knows shares and grants
     */
    public WorkspaceCallLimiter(ViewKeeper views) {
        this.views = views;
    }

    /**
     * Whether a workspace may have one more call in flight.
     *
     * @param workspace the workspace's id
     * @return true if its grant allows it
     */
    public boolean mayStart(String workspace) {
        OptionalLong grant = views.grant(workspace);
        return grant.isEmpty() || inFlight(workspace) < grant.getAsLong();
    }

    /**
     * Counts a call in.
     *
     * @param workspace the workspace's id
     */
    public void callStarted(String workspace) {
        inFlight.merge(workspace, 1L, Long::sum);
    }

    /**
     * Counts a call out.
     *
     * @param workspace the workspace's id
     */
    public void callEnded(String workspace) {
        inFlight.computeIfPresent(workspace, (_workspace, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Counts in a call that another entry counts against the limit; it usageReports the share only.
     *
     * @param workspace the workspace's id
     */
    public void forwardedCallStarted(String workspace) {
        forwarded.merge(workspace, 1L, Long::sum);
    }

    /**
     * Counts out a call that another entry passed on.
     *
     * @param workspace the workspace's id
     */
    public void forwardedCallEnded(String workspace) {
        forwarded.computeIfPresent(workspace, (_workspace, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * A workspace's calls in flight per unit of its share.
     *
     * @param workspace the workspace's id
     * @return lower for a workspace that is further below its share
     */
    public double shareUtilization(String workspace) {
        double share =
                views.view().workspace(workspace).map(WorkspaceProto::getShare).orElse(0.0);
        long callsInUse = inFlight(workspace) + forwarded.getOrDefault(workspace, 0L);
        return share > 0 ? callsInUse / share : Double.MAX_VALUE / 2 + callsInUse;
    }

    /**
     * The calls in flight of all workspaces.
     *
     * @return the number
     */
    public long totalInFlight() {
        return inFlight.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * What this entry tells the leader about each workspace.
     *
     * @param queue the calls that wait
     * @return one report per workspace that has calls, waits or grants
     */
    public List<CallUseProto> usageReports(CallQueue queue) {
        Set<String> workspaces = new HashSet<>(inFlight.keySet());
        views.view().config().getWorkspacesList().stream()
                .filter(WorkspaceProto::hasLimitCalls)
                .forEach(workspace -> workspaces.add(workspace.getId()));
        List<CallUseProto> usageReports = new ArrayList<>();
        for (String workspace : workspaces) {
            usageReports.add(CallUseProto.newBuilder()
                    .setWorkspace(workspace)
                    .setInFlight(inFlight(workspace))
                    .setWaiting(queue.queuedCalls(workspace))
                    .setGranted(views.lastGrant(workspace))
                    .build());
        }
        return usageReports;
    }

    private long inFlight(String workspace) {
        return inFlight.getOrDefault(workspace, 0L);
    }
}
