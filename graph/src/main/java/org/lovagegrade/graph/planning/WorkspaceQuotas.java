package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.graph.machine.ResourceVector;

/** The resource usage of workspaces, checked against their limits; grows while a plan is made. */
public final class WorkspaceQuotas {
    private final Map<String, ResourceVector> limits = new HashMap<>();
    private final Map<String, ResourceVector> used = new HashMap<>();

    /**
     * Adds a workspace.
     *
     * @param workspace its name
     * @param limit the resources that its runs may hold in total; 0 means no limit on that resource
     * @param usage the resources that its runs hold and its pending starts will hold
     */
    public void add(String workspace, ResourceVector limit, ResourceVector usage) {
        limits.put(workspace, limit);
        used.put(workspace, usage);
    }

    boolean allows(String workspace, ResourceVector requested) {
        ResourceVector limit = limits.get(workspace);
        if (limit == null) {
            return true;
        }
        ResourceVector total = used.get(workspace).plus(requested);
        return isWithin(total.milliCores(), limit.milliCores())
                && isWithin(total.memoryMb(), limit.memoryMb())
                && isWithin(total.accelerators(), limit.accelerators());
    }

    private static boolean isWithin(long total, long limit) {
        return limit <= 0 || total <= limit;
    }

    void allocate(String workspace, ResourceVector requested) {
        used.computeIfPresent(workspace, (_name, current) -> current.plus(requested));
    }
}
