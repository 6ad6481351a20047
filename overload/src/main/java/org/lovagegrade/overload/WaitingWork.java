package org.lovagegrade.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Sums of waiting work by priority and share, and by the last times at which it can start to be in time or useful. */
final class WaitingWork {
    /** Times are rounded down to a multiple of this, which bounds the number of sums that a decision adds up. */
    private static final long BUCKET_MS = 500;

    private final Map<Group, Sums> groups = new HashMap<>();

    private record Group(int priority, boolean withinShare, boolean gang) {
        static Group of(WorkItem item) {
            return new Group(item.priority(), item.withinShare(), item.work().gang());
        }

        /** Whether work of this group goes before an item of the same outcome. */
        boolean isAheadOf(WorkItem item) {
            if (withinShare != item.withinShare()) {
                return withinShare;
            }
            // Small items of the same priority use capacity that a gang can't use yet.
            boolean isPassedBySmallItem = gang && !item.work().gang();
            return isPassedBySmallItem ? priority < item.priority() : priority <= item.priority();
        }
    }

    private record Sums(NavigableMap<Long, Long> byInTimeStart, NavigableMap<Long, Long> byUsefulStart) {
        Sums() {
            this(new TreeMap<>(), new TreeMap<>());
        }
    }

    /** Adds an item to the sums, or subtracts it if {@code sign} is -1. */
    void add(WorkItem item, int sign) {
        Sums sums = groups.computeIfAbsent(Group.of(item), _group -> new Sums());
        long pathMs = item.work().pathMs();
        long coreMs = sign * item.work().coreMs();
        merge(sums.byInTimeStart(), item.objective().inTimeUntilMs() - pathMs, coreMs);
        merge(sums.byUsefulStart(), item.objective().usefulUntilMs() - pathMs, coreMs);
    }

    private static void merge(NavigableMap<Long, Long> byStart, long startMs, long coreMs) {
        byStart.merge(Math.floorDiv(startMs, BUCKET_MS), coreMs, (present, added) -> {
            long sum = present + added;
            return sum == 0 ? null : sum;
        });
    }

    /** The work in time that goes before an item in time, in core-milliseconds. */
    long inTimeAhead(WorkItem item, long nowMs) {
        long coreMs = 0;
        for (Map.Entry<Group, Sums> group : groups.entrySet()) {
            if (group.getKey().isAheadOf(item)) {
                coreMs += sumFrom(group.getValue().byInTimeStart(), nowMs);
            }
        }
        return coreMs;
    }

    /** The work that goes before a late item, in core-milliseconds: all work in time, and the late work ahead of it. */
    long usefulAhead(WorkItem item, long nowMs) {
        long coreMs = 0;
        for (Map.Entry<Group, Sums> group : groups.entrySet()) {
            Sums sums = group.getValue();
            coreMs += sumFrom(group.getKey().isAheadOf(item) ? sums.byUsefulStart() : sums.byInTimeStart(), nowMs);
        }
        return coreMs;
    }

    /** The work that can still start in time or be useful, in core-milliseconds. */
    private static long sumFrom(NavigableMap<Long, Long> byStart, long nowMs) {
        long coreMs = 0;
        for (long part : byStart.tailMap(Math.floorDiv(nowMs, BUCKET_MS)).values()) {
            coreMs += part;
        }
        return coreMs;
    }
}
