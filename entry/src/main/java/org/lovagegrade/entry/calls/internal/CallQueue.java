package org.lovagegrade.entry.calls.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The calls that wait for a slot, by service and workspace. Within a workspace, the call that must start first comes
 * first.
 */
public final class CallQueue {
    private static final Comparator<QueuedCall> BY_SLACK =
            Comparator.comparingLong(QueuedCall::startByMs).thenComparingLong(QueuedCall::sequence);

    private final Map<String, TreeMap<String, TreeSet<QueuedCall>>> byService = new HashMap<>();
    private final Map<String, Long> queuedByWorkspace = new HashMap<>();
    private long nextSequence;
    private int size;

    /** A call with its place in the order: by latest start, then by arrival. */
    private record QueuedCall(long startByMs, long sequence, PendingCall call) {}

    /**
     * Adds a call; an admitted call, which waits for a retry, precedes all others of its workspace.
     *
     * @param call the call
     */
    public void add(PendingCall call) {
        long startByMs = call.isAdmitted() ? Long.MIN_VALUE : call.request().startByMs();
        byService
                .computeIfAbsent(call.request().service(), _service -> new TreeMap<>())
                .computeIfAbsent(call.request().workspace(), _workspace -> new TreeSet<>(BY_SLACK))
                .add(new QueuedCall(startByMs, nextSequence++, call));
        queuedByWorkspace.merge(call.request().workspace(), 1L, Long::sum);
        size++;
    }

    /**
     * Removes and returns the next call: the first one of the workspace with the lowest share utilization among those
     * whose first call may start.
     *
     * @param service the service with a free slot
     * @param includeForwarded whether calls forwarded by other entries are eligible
     * @param mayStart whether a call may start now
     * @param shareUtilization the use of a workspace, by its id, in relation to its share
     * @return the call, or null if none is eligible
     */
    public PendingCall takeNext(
            String service,
            boolean includeForwarded,
            Predicate<PendingCall> mayStart,
            ToDoubleFunction<String> shareUtilization) {
        QueuedCall best = null;
        double lowestUtilization = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, TreeSet<QueuedCall>> workspace :
                byService.getOrDefault(service, new TreeMap<>()).entrySet()) {
            QueuedCall first = first(workspace.getValue(), includeForwarded);
            if (first == null) {
                continue;
            }
            double utilization = shareUtilization.applyAsDouble(workspace.getKey());
            if (mayStart.test(first.call()) && (best == null || utilization < lowestUtilization)) {
                best = first;
                lowestUtilization = utilization;
            }
        }
        if (best == null) {
            return null;
        }
        remove(best);
        return best.call();
    }

    /**
     * Removes the calls that may not wait any longer: admitted ones at their deadline, others at their latest start.
     *
     * @param nowMs the current time on the monotonic clock, in milliseconds
     * @return the removed calls in order of arrival
     */
    public List<PendingCall> removeOverdue(long nowMs) {
        List<QueuedCall> overdue = new ArrayList<>();
        for (TreeMap<String, TreeSet<QueuedCall>> workspaces : byService.values()) {
            for (TreeSet<QueuedCall> queue : workspaces.values()) {
                for (QueuedCall queued : queue) {
                    if (nowMs >= expiryMs(queued)) {
                        overdue.add(queued);
                    } else if (queued.startByMs() > nowMs) {
                        break;
                    }
                }
            }
        }
        overdue.sort(Comparator.comparingLong(QueuedCall::sequence));
        overdue.forEach(this::remove);
        return overdue.stream().map(QueuedCall::call).toList();
    }

    /**
     * Returns the services for which calls are queued.
     *
     * @return the names of the services
     */
    public List<String> services() {
        return List.copyOf(byService.keySet());
    }

    /**
     * Returns the number of queued calls of a workspace.
     *
     * @param workspace the id of the workspace
     * @return the number of calls
     */
    public long queuedCalls(String workspace) {
        return queuedByWorkspace.getOrDefault(workspace, 0L);
    }

    /**
     * Returns the number of queued calls.
     *
     * @return the number of calls
     */
    public int size() {
        return size;
    }

    private static QueuedCall first(SortedSet<QueuedCall> queue, boolean includeForwarded) {
        for (QueuedCall queued : queue) {
            if (includeForwarded || !queued.call().isForwarded()) {
                return queued;
            }
        }
        return null;
    }

    private static long expiryMs(QueuedCall queued) {
        return queued.call().isAdmitted()
                ? queued.call().request().deadlineMs()
                : queued.call().request().startByMs();
    }

    private void remove(QueuedCall queued) {
        String service = queued.call().request().service();
        String workspace = queued.call().request().workspace();
        TreeMap<String, TreeSet<QueuedCall>> workspaces = byService.get(service);
        TreeSet<QueuedCall> queue = workspaces.get(workspace);
        queue.remove(queued);
        if (queue.isEmpty()) {
            workspaces.remove(workspace);
        }
        if (workspaces.isEmpty()) {
            byService.remove(service);
        }
        queuedByWorkspace.merge(workspace, -1L, Long::sum);
        size--;
    }
}
