package org.lovagegrade.graph.leader;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.lovagegrade.kernel.Clock;

/** A clock that tests advance, which runs the tasks that become due on it. */
final class SimulatedTime implements Clock {
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::number));
    private long nowMs = 1_000;
    private long nextNumber;

    /** A task and its due time; tasks due at the same time run in the order of their numbers. */
    private record Due(long atMs, long number, Runnable task) {}

    @Override
    public long nowMs() {
        return nowMs;
    }

    void after(long delayMs, Runnable task) {
        due.add(new Due(nowMs + delayMs, nextNumber++, task));
    }

    void advance(long lengthMs) {
        long untilMs = nowMs + lengthMs;
        while (!due.isEmpty() && due.peek().atMs() <= untilMs) {
            Due next = due.poll();
            nowMs = Math.max(nowMs, next.atMs());
            next.task().run();
        }
        nowMs = untilMs;
    }
}
