package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.graph.machine.ResourceVector;

/** What workspaces may still start below their limits; changes while a plan is made. */
public final class WorkspaceQuotas {
    private final Map<String, ResourceVector> limits = new HashMap<>();
    private final Map<String, ResourceVector> used = new HashMap<>();

    /**
     * Adds a workspace.
     *
     * @param workspace its name
     * @param limit what it may have running; a part of 0 means no limit
     * @param running what it has running
     */
    public void add(String workspace, ResourceVector limit, ResourceVector running) {
        limits.put(workspace, limit);
        used.put(workspace, running);
    }

    boolean allows(String workspace, ResourceVector more) {
        ResourceVector limit = limits.get(workspace);
        if (limit == null) {
            return true;
        }
        ResourceVector sum = used.get(workspace).plus(more);
        return isWithin(sum.milliCores(), limit.milliCores())
                && isWithin(sum.memoryMb(), limit.memoryMb())
                && isWithin(sum.accelerators(), limit.accelerators());
    }

    private static boolean isWithin(long sum, long limit) {
        return limit <= 0 || sum <= limit;
    }

    void take(String workspace, ResourceVector more) {
        used.computeIfPresent(workspace, (_name, present) -> present.plus(more));
    }
}
