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
public final class WaitingLine {
    private static final Comparator<Waiting> BY_SLACK =
            Comparator.comparingLong(Waiting::startByMs).thenComparingLong(Waiting::sequence);

    private final Map<String, TreeMap<String, TreeSet<Waiting>>> byService = new HashMap<>();
    private final Map<String, Long> waitingByWorkspace = new HashMap<>();
    private long nextSequence;
    private int size;

    /** A call in the line. */
    private record Waiting(long startByMs, long sequence, PendingCall call) {}

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
                .add(new Waiting(startByMs, nextSequence++, call));
        waitingByWorkspace.merge(call.request().workspace(), 1L, Long::sum);
        size++;
    }

    /**
     * Takes the call that goes next: of the workspace that uses the least of its share among those that may start.
     *
     * @param service the service that has room
     * @param guestsToo whether calls of other entries may be taken
     * @param mayStart whether a call's workspace may start one more
     * @param useOfShare how much of its share a workspace uses
     * @return the call, or null
     */
    public PendingCall takeNext(
            String service, boolean guestsToo, Predicate<PendingCall> mayStart, ToDoubleFunction<String> useOfShare) {
        Waiting best = null;
        double bestUse = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, TreeSet<Waiting>> workspace :
                byService.getOrDefault(service, new TreeMap<>()).entrySet()) {
            Waiting first = first(workspace.getValue(), guestsToo);
            if (first == null) {
                continue;
            }
            double use = useOfShare.applyAsDouble(workspace.getKey());
            if (mayStart.test(first.call()) && (best == null || use < bestUse)) {
                best = first;
                bestUse = use;
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
    public List<PendingCall> takeOverdue(long nowMs) {
        List<Waiting> overdue = new ArrayList<>();
        for (TreeMap<String, TreeSet<Waiting>> workspaces : byService.values()) {
            for (TreeSet<Waiting> line : workspaces.values()) {
                for (Waiting waiting : line) {
                    if (nowMs >= limitMs(waiting)) {
                        overdue.add(waiting);
                    } else if (waiting.startByMs() > nowMs) {
                        break;
                    }
                }
            }
        }
        overdue.sort(Comparator.comparingLong(Waiting::sequence));
        overdue.forEach(this::remove);
        return overdue.stream().map(Waiting::call).toList();
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
    public long waiting(String workspace) {
        return waitingByWorkspace.getOrDefault(workspace, 0L);
    }

    /**
     * How many calls wait.
     *
     * @return the number
     */
    public int size() {
        return size;
    }

    private static Waiting first(SortedSet<Waiting> line, boolean guestsToo) {
        for (Waiting waiting : line) {
            if (guestsToo || !waiting.call().isGuest()) {
                return waiting;
            }
        }
        return null;
    }

    private static long limitMs(Waiting waiting) {
        return waiting.call().isAdmitted()
                ? waiting.call().request().deadlineMs()
                : waiting.call().request().startByMs();
    }

    private void remove(Waiting waiting) {
        String service = waiting.call().request().service();
        String workspace = waiting.call().request().workspace();
        TreeMap<String, TreeSet<Waiting>> workspaces = byService.get(service);
        TreeSet<Waiting> line = workspaces.get(workspace);
        line.remove(waiting);
        if (line.isEmpty()) {
            workspaces.remove(workspace);
        }
        if (workspaces.isEmpty()) {
            byService.remove(service);
        }
        waitingByWorkspace.merge(workspace, -1L, Long::sum);
        size--;
    }
}
