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
 * Tracks the lease expiry of each attempt. A renewal only updates a map; the expiry queue is corrected lazily when an
 * entry is due.
 *
 * <p>Example: {@code leases.granted(attempt, nowMs, leaseMs); leases.takeExpired(nowMs).forEach(this::expire);}
 */
public final class LeaseTable {
    private static final Comparator<QueuedCheck> BY_TIME =
            Comparator.comparingLong(QueuedCheck::atMs).thenComparingLong(QueuedCheck::sequence);

    private record QueuedCheck(long atMs, long sequence, Attempt attempt) {}

    private final Map<Attempt, Long> expiryMsByAttempt = new HashMap<>();
    private final PriorityQueue<QueuedCheck> queue = new PriorityQueue<>(BY_TIME);
    private long nextSequence;

    /**
     * Records that a lease was granted or renewed. The expiry includes the bound on clock drift and never moves back.
     *
     * @param attempt the attempt
     * @param nowMs the time of the grant in milliseconds
     * @param leaseMs the granted length in milliseconds
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
     * Removes an attempt that has ended.
     *
     * @param attempt the attempt
     */
    public void released(Attempt attempt) {
        expiryMsByAttempt.remove(attempt);
    }

    /**
     * Removes and returns the attempts whose leases have expired.
     *
     * @param nowMs the current time in milliseconds
     * @return the expired attempts, in order of expiry
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
     * Returns when to call {@link #takeExpired} next.
     *
     * @return a time in milliseconds, not later than the next expiry; empty if nothing is queued
     */
    public OptionalLong nextCheckMs() {
        return queue.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(queue.peek().atMs());
    }
}
