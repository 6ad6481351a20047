package org.lovagegrade.core.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.lovagegrade.core.Attempt;

/**
 * Knows until when each attempt may run. A renewal is one write to a map; the queue is mended when it comes up.
 *
 * <p>Example: {@code leases.granted(attempt, nowMs, leaseMs); leases.takeExpired(nowMs).forEach(this::lose);}
 */
public final class LeaseTable {
    private static final Comparator<Due> BY_TIME =
            Comparator.comparingLong(Due::atMs).thenComparingLong(Due::sequence);

    private record Due(long atMs, long sequence, Attempt attempt) {}

    private final Map<Attempt, Long> expiryMs = new HashMap<>();
    private final PriorityQueue<Due> queue = new PriorityQueue<>(BY_TIME);
    private long nextSequence;

    /**
     * Notes that a lease was granted or renewed; an expiry never moves back.
     *
     * @param attempt the attempt
     * @param nowMs when it was granted, in milliseconds
     * @param leaseMs the length granted, in milliseconds
     */
    public void granted(Attempt attempt, long nowMs, long leaseMs) {
        long untilMs = nowMs + LeaseLength.withDriftBound(leaseMs);
        Long former = expiryMs.put(attempt, untilMs);
        if (former == null) {
            queue.add(new Due(untilMs, nextSequence++, attempt));
        } else if (former > untilMs) {
            expiryMs.put(attempt, former);
        }
    }

    /**
     * Forgets an attempt that is over.
     *
     * @param attempt the attempt
     */
    public void released(Attempt attempt) {
        expiryMs.remove(attempt);
    }

    /**
     * Takes out the attempts whose leases are surely over.
     *
     * @param nowMs the present time, in milliseconds
     * @return the attempts, in the order of their expiry
     */
    public List<Attempt> takeExpired(long nowMs) {
        List<Attempt> expired = new ArrayList<>();
        while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
            Due due = queue.poll();
            Long untilMs = expiryMs.get(due.attempt());
            if (untilMs == null) {
                continue;
            }
            if (untilMs > nowMs) {
                queue.add(new Due(untilMs, nextSequence++, due.attempt()));
                continue;
            }
            expiryMs.remove(due.attempt());
            expired.add(due.attempt());
        }
        return expired;
    }

    /**
     * When {@link #takeExpired} is to be called next.
     *
     * @return a time in milliseconds, at the latest that of the next expiry; empty without leases
     */
    public OptionalLong nextCheckMs() {
        return queue.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(queue.peek().atMs());
    }
}
