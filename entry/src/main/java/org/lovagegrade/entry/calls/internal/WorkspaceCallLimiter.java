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

/**
 * Counts the calls in flight of each workspace and checks them against the grant that this entry has from the leader.
 */
public final class WorkspaceCallLimiter {
    private final ViewKeeper views;
    private final Map<String, Long> inFlight = new TreeMap<>();
    private final Map<String, Long> forwarded = new TreeMap<>();

    /**
     * Creates a limiter without calls in flight.
     *
     * @param views provides shares and grants
     */
    public WorkspaceCallLimiter(ViewKeeper views) {
        this.views = views;
    }

    /**
     * Returns whether a workspace may have one more call in flight.
     *
     * @param workspace the id of the workspace
     * @return true if it has no limit, or if its grant allows one more call
     */
    public boolean mayStart(String workspace) {
        OptionalLong grant = views.grant(workspace);
        return grant.isEmpty() || inFlight(workspace) < grant.getAsLong();
    }

    /**
     * Counts a call as in flight.
     *
     * @param workspace the id of the workspace
     */
    public void callStarted(String workspace) {
        inFlight.merge(workspace, 1L, Long::sum);
    }

    /**
     * Counts a call as no longer in flight.
     *
     * @param workspace the id of the workspace
     */
    public void callEnded(String workspace) {
        inFlight.computeIfPresent(workspace, (_workspace, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Counts a call that another entry forwarded as in flight. It counts towards the share utilization here, but
     * against the limit only at the other entry.
     *
     * @param workspace the id of the workspace
     */
    public void forwardedCallStarted(String workspace) {
        forwarded.merge(workspace, 1L, Long::sum);
    }

    /**
     * Counts a call that another entry forwarded as no longer in flight.
     *
     * @param workspace the id of the workspace
     */
    public void forwardedCallEnded(String workspace) {
        forwarded.computeIfPresent(workspace, (_workspace, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Returns the calls in flight of a workspace in relation to its share. Workspaces without a share rank behind all
     * others.
     *
     * @param workspace the id of the workspace
     * @return the calls in flight divided by the share; lower means further below the share
     */
    public double shareUtilization(String workspace) {
        double share =
                views.view().workspace(workspace).map(WorkspaceProto::getShare).orElse(0.0);
        long callsInUse = inFlight(workspace) + forwarded.getOrDefault(workspace, 0L);
        return share > 0 ? callsInUse / share : Double.MAX_VALUE / 2 + callsInUse;
    }

    /**
     * Returns the number of calls in flight of all workspaces, without forwarded ones.
     *
     * @return the number of calls
     */
    public long totalInFlight() {
        return inFlight.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the use of calls per workspace that this entry reports to the leader.
     *
     * @param queue the queued calls
     * @return a report for each workspace that has calls in flight or a limit on them
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
