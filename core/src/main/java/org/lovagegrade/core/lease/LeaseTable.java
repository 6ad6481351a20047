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
    private static final Comparator<QueuedCheck> BY_TIME =
            Comparator.comparingLong(QueuedCheck::atMs).thenComparingLong(QueuedCheck::sequence);

    private record QueuedCheck(long atMs, long sequence, Attempt attempt) {}

    private final Map<Attempt, Long> expiryMsByAttempt = new HashMap<>();
    private final PriorityQueue<QueuedCheck> queue = new PriorityQueue<>(BY_TIME);
    private long nextSequence;

    /**
     * Notes that a lease was granted or renewed; an expiry never moves back.
     *
     * @param attempt the attempt
     * @param nowMs when it was granted, in milliseconds
     * @param leaseMs the length granted, in milliseconds
     */
    public void granted(Attempt attempt, long nowMs, long leaseMs) {
        long newExpiryMs = nowMs + LeaseLength.withDriftBound(leaseMs);
        Long previousExpiryMs = expiryMsByAttempt.put(attempt, newExpiryMs);
        if (previousExpiryMs == null) {
            queue.add(new QueuedCheck(newExpiryMs, nextSequence++, attempt));
        } else if (previousExpiryMs > newExpiryMs) {
            expiryMsByAttempt.put(attempt, previousExpiryMs);
        }
    }

    /**
     * Forgets an attempt that is over.
     *
     * @param attempt the attempt
     */
    public void released(Attempt attempt) {
        expiryMsByAttempt.remove(attempt);
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
            QueuedCheck check = queue.poll();
            Long currentExpiryMs = expiryMsByAttempt.get(check.attempt());
            if (currentExpiryMs == null) {
                continue;
            }
            if (currentExpiryMs > nowMs) {
                queue.add(new QueuedCheck(currentExpiryMs, nextSequence++, check.attempt()));
                continue;
            }
            expiryMsByAttempt.remove(check.attempt());
            expired.add(check.attempt());
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
