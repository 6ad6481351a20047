package org.lovagegrade.core.internal;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/** What is to be done at a later time; equal times keep their order. */
final class Timers {
    private record Timer(long atMs, long sequence, Runnable action) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::sequence));
    private long nextSequence;
    private long lastWakeMs = Long.MIN_VALUE;

    void at(long atMs, Runnable action) {
        queue.add(new Timer(atMs, nextSequence++, action));
    }

    /** Asks for a decision at a time; many requests for the same time cost little. */
    void wakeAt(long atMs) {
        if (atMs != lastWakeMs) {
            lastWakeMs = atMs;
            at(atMs, () -> {});
        }
    }

    void run(long nowMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
            queue.poll().action().run();
        }
    }

    OptionalLong nextMs() {
        return queue.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(queue.peek().atMs());
    }
}
