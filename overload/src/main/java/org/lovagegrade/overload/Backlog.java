package org.lovagegrade.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * The work that waits, from which the work ahead of a new item follows; updated item by item.
 *
 * <p>Example: {@code backlog.put(item); backlog.remove(item.id());}
 */
public final class Backlog {
    private final Map<String, WorkItem> itemsById = new HashMap<>();
    private final WaitingWork fleet = new WaitingWork();
    private final Map<String, WaitingWork> byWorkspace = new HashMap<>();
    private final Map<String, Long> limitsMilliCores = new HashMap<>();
    private long coreMs;

    /**
     * Adds an item, or replaces what was known of it.
     *
     * @param item the item; its work is what waits for capacity now
     */
    public void put(WorkItem item) {
        remove(item.id());
        itemsById.put(item.id(), item);
        add(item, 1);
    }

    /**
     * Removes an item that no longer waits; an unknown one is ignored.
     *
     * @param id the name of the item
     */
    public void remove(String id) {
        WorkItem item = itemsById.remove(id);
        if (item != null) {
            add(item, -1);
        }
    }

    /** Adds an item to the sums, or subtracts it if {@code sign} is -1. */
    private void add(WorkItem item, int sign) {
        fleet.add(item, sign);
        byWorkspace
                .computeIfAbsent(item.workspace(), _workspace -> new WaitingWork())
                .add(item, sign);
        coreMs += sign * item.work().coreMs();
    }

    /**
     * Sets the upper limit on what a workspace runs.
     *
     * @param workspace its name
     * @param milliCores thousandths of a core; 0 for no limit
     */
    public void setLimit(String workspace, long milliCores) {
        limitsMilliCores.put(workspace, milliCores);
    }

    /**
     * The work that waits.
     *
     * @return the sum over all items, in core-milliseconds
     */
    public long coreMs() {
        return coreMs;
    }

    /**
     * The number of items that wait.
     *
     * @return the number
     */
    public int size() {
        return itemsById.size();
    }

    WaitingWork fleet() {
        return fleet;
    }

    WaitingWork ofWorkspace(String workspace) {
        return byWorkspace.getOrDefault(workspace, new WaitingWork());
    }

    /** The limit of a workspace in cores, which is also core-milliseconds per millisecond; 0 for none. */
    double limitCores(String workspace) {
        return limitsMilliCores.getOrDefault(workspace, 0L) / 1_000.0;
    }
}
