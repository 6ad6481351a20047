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

/** Calls that wait for a slot, by service and team; within a team the one with the least slack goes first. */
public final class WaitingLine {
    private static final Comparator<Waiting> BY_SLACK =
            Comparator.comparingLong(Waiting::startByMs).thenComparingLong(Waiting::sequence);

    private final Map<String, TreeMap<String, TreeSet<Waiting>>> byService = new HashMap<>();
    private final Map<String, Long> waitingByTeam = new HashMap<>();
    private long nextSequence;
    private int size;

    /** A call in the line. */
    private record Waiting(long startByMs, long sequence, PendingCall call) {}

    /**
     * Adds a call; one that is admitted already goes before all others of its team.
     *
     * @param call the call
     */
    public void add(PendingCall call) {
        long startByMs = call.isAdmitted() ? Long.MIN_VALUE : call.request().startByMs();
        byService
                .computeIfAbsent(call.request().service(), _service -> new TreeMap<>())
                .computeIfAbsent(call.request().team(), _team -> new TreeSet<>(BY_SLACK))
                .add(new Waiting(startByMs, nextSequence++, call));
        waitingByTeam.merge(call.request().team(), 1L, Long::sum);
        size++;
    }

    /**
     * Takes the call that goes next: of the team that uses the least of its share among those that may start.
     *
     * @param service the service that has room
     * @param guestsToo whether calls of other entries may be taken
     * @param mayStart whether a call's team may start one more
     * @param useOfShare how much of its share a team uses
     * @return the call, or null
     */
    public PendingCall takeNext(
            String service, boolean guestsToo, Predicate<PendingCall> mayStart, ToDoubleFunction<String> useOfShare) {
        Waiting best = null;
        double bestUse = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, TreeSet<Waiting>> team :
                byService.getOrDefault(service, new TreeMap<>()).entrySet()) {
            Waiting first = first(team.getValue(), guestsToo);
            if (first == null) {
                continue;
            }
            double use = useOfShare.applyAsDouble(team.getKey());
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
        for (TreeMap<String, TreeSet<Waiting>> teams : byService.values()) {
            for (TreeSet<Waiting> line : teams.values()) {
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
     * How many calls of a team wait.
     *
     * @param team the team's id
     * @return the number
     */
    public long waiting(String team) {
        return waitingByTeam.getOrDefault(team, 0L);
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
        String team = waiting.call().request().team();
        TreeMap<String, TreeSet<Waiting>> teams = byService.get(service);
        TreeSet<Waiting> line = teams.get(team);
        line.remove(waiting);
        if (line.isEmpty()) {
            teams.remove(team);
        }
        if (teams.isEmpty()) {
            byService.remove(service);
        }
        waitingByTeam.merge(team, -1L, Long::sum);
        size--;
    }
}
