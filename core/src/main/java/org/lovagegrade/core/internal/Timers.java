package org.lovagegrade.core.internal;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.TreeSet;

/** Deferred actions and wake-up times; actions due at the same time run in insertion order. */
final class Timers {
    private record Timer(long atMs, long sequence, Runnable action) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::sequence));
    private final TreeSet<Long> wakeTimes = new TreeSet<>();
    private long nextSequence;

    void at(long atMs, Runnable action) {
        queue.add(new Timer(atMs, nextSequence++, action));
    }

    /** Requests a wake-up at a time; repeated requests for the same time count as one. */
    void wakeAt(long atMs) {
        wakeTimes.add(atMs);
    }

    void run(long nowMs) {
        wakeTimes.headSet(nowMs, true).clear();
        while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
            queue.poll().action().run();
        }
    }

    OptionalLong nextMs() {
        long atMs = queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atMs();
        if (!wakeTimes.isEmpty()) {
            atMs = Math.min(atMs, wakeTimes.first());
        }
        return atMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(atMs);
    }
}
