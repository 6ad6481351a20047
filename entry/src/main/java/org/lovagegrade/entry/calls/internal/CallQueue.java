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

/** Calls that wait for a slot, by service and workspace; within a workspace the one with the least slack goes first. */
public final class CallQueue {
    private static final Comparator<QueuedCall> BY_SLACK =
            Comparator.comparingLong(QueuedCall::startByMs).thenComparingLong(QueuedCall::sequence);

    private final Map<String, TreeMap<String, TreeSet<QueuedCall>>> byService = new HashMap<>();
    private final Map<String, Long> queuedByWorkspace = new HashMap<>();
    private long nextSequence;
    private int size;

    /** A call in the queue. */
    private record QueuedCall(long startByMs, long sequence, PendingCall call) {}

    /**
     * Adds a call; one that is admitted already goes before all others of its workspace.
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
     * Takes the call that goes next: of the workspace that uses the least of its share among those that may start.
     *
     * @param service the service that has room
     * @param includeForwarded whether calls of other entries may be taken
     * @param mayStart whether a call's workspace may start one more
     * @param shareUtilization how much of its share a workspace uses
     * @return the call, or null
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
     * Takes out the calls that have waited for too long.
     *
     * @param nowMs the present time in milliseconds
     * @return the calls, in the order in which they came
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
     * The services for which calls wait.
     *
     * @return their names
     */
    public List<String> services() {
        return List.copyOf(byService.keySet());
    }

    /**
     * How many calls of a workspace wait.
     *
     * @param workspace the workspace's id
     * @return the number
     */
    public long queuedCalls(String workspace) {
        return queuedByWorkspace.getOrDefault(workspace, 0L);
    }

    /**
     * How many calls wait.
     *
     * @return the number
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
