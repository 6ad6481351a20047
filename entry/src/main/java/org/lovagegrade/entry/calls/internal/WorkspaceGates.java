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
public final class WorkspaceGates {
    private final ViewKeeper views;
    private final Map<String, Long> inFlight = new TreeMap<>();
    private final Map<String, Long> guests = new TreeMap<>();

    /**
     * Creates the gates, all empty.
     *
     * @param views knows shares and grants
     */
    public WorkspaceGates(ViewKeeper views) {
        this.views = views;
    }

    /**
     * Whether a workspace may have one more call in flight.
     *
     * @param workspace the workspace's id
     * @return true if its grant allows it
     */
    public boolean mayEnter(String workspace) {
        OptionalLong grant = views.grant(workspace);
        return grant.isEmpty() || inFlight(workspace) < grant.getAsLong();
    }

    /**
     * Counts a call in.
     *
     * @param workspace the workspace's id
     */
    public void enter(String workspace) {
        inFlight.merge(workspace, 1L, Long::sum);
    }

    /**
     * Counts a call out.
     *
     * @param workspace the workspace's id
     */
    public void leave(String workspace) {
        inFlight.computeIfPresent(workspace, (_workspace, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Counts in a call that another entry counts against the limit; it uses the share only.
     *
     * @param workspace the workspace's id
     */
    public void enterGuest(String workspace) {
        guests.merge(workspace, 1L, Long::sum);
    }

    /**
     * Counts out a call that another entry passed on.
     *
     * @param workspace the workspace's id
     */
    public void leaveGuest(String workspace) {
        guests.computeIfPresent(workspace, (_workspace, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * A workspace's calls in flight per unit of its share.
     *
     * @param workspace the workspace's id
     * @return lower for a workspace that is further below its share
     */
    public double useOfShare(String workspace) {
        double share =
                views.view().workspace(workspace).map(WorkspaceProto::getShare).orElse(0.0);
        long used = inFlight(workspace) + guests.getOrDefault(workspace, 0L);
        return share > 0 ? used / share : Double.MAX_VALUE / 2 + used;
    }

    /**
     * The calls in flight of all workspaces.
     *
     * @return the number
     */
    public long total() {
        return inFlight.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * What this entry tells the leader about each workspace.
     *
     * @param line the calls that wait
     * @return one report per workspace that has calls, waits or grants
     */
    public List<CallUseProto> uses(WaitingLine line) {
        Set<String> workspaces = new HashSet<>(inFlight.keySet());
        views.view().config().getWorkspacesList().stream()
                .filter(WorkspaceProto::hasLimitCalls)
                .forEach(workspace -> workspaces.add(workspace.getId()));
        List<CallUseProto> uses = new ArrayList<>();
        for (String workspace : workspaces) {
            uses.add(CallUseProto.newBuilder()
                    .setWorkspace(workspace)
                    .setInFlight(inFlight(workspace))
                    .setWaiting(line.waiting(workspace))
                    .setGranted(views.lastGrant(workspace))
                    .build());
        }
        return uses;
    }

    private long inFlight(String workspace) {
        return inFlight.getOrDefault(workspace, 0L);
    }
}
