package org.lovagegrade.core.internal;

import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;

/**
 * The waiting jobs of one workspace: ready jobs, which are tried at the next decision, and blocked jobs, which could
 * not be placed for lack of free capacity or because of the workspace's limits.
 *
 * <p>Blocked jobs other than gangs are grouped into buckets by size, so that only jobs that may fit are checked when
 * capacity is freed.
 */
final class WaitingJobs {
    private static final int MAX_JOBS_CHECKED_PER_BUCKET = 8;

    private final Comparator<JobState> order;
    private final TreeSet<JobState> ready;
    private final TreeSet<JobState> blocked;
    private final TreeMap<Integer, TreeSet<JobState>> buckets = new TreeMap<>();
    private final TreeSet<JobState> blockedGangs;
    private int blockedByCapacityCount;
    private int blockedUrgentCount;

    WaitingJobs(Comparator<JobState> order) {
        this.order = order;
        this.ready = new TreeSet<>(order);
        this.blocked = new TreeSet<>(order);
        this.blockedGangs = new TreeSet<>(order);
    }

    void addReady(JobState job) {
        remove(job);
        ready.add(job);
    }

    void addBlocked(JobState job) {
        remove(job);
        blocked.add(job);
        job.blockedByCapacity = job.waitReason == Reason.NO_ROOM;
        blockedByCapacityCount += job.blockedByCapacity ? 1 : 0;
        blockedUrgentCount += job.isUrgent() ? 1 : 0;
        if (job.isGang()) {
            blockedGangs.add(job);
            return;
        }
        buckets.computeIfAbsent(ResourceBuckets.keyOf(job.plannedPerTask), _unused -> new TreeSet<>(order))
                .add(job);
    }

    /** Removes a job; must be called before its planned size changes, as the size determines its bucket. */
    void remove(JobState job) {
        if (ready.remove(job) || !blocked.remove(job)) {
            return;
        }
        blockedByCapacityCount -= job.blockedByCapacity ? 1 : 0;
        blockedUrgentCount -= job.isUrgent() ? 1 : 0;
        if (job.isGang()) {
            blockedGangs.remove(job);
            return;
        }
        int key = ResourceBuckets.keyOf(job.plannedPerTask);
        TreeSet<JobState> bucket = buckets.get(key);
        bucket.remove(job);
        if (bucket.isEmpty()) {
            buckets.remove(key);
        }
    }

    JobState firstReady() {
        return ready.isEmpty() ? null : ready.first();
    }

    JobState firstBlocked() {
        return blocked.isEmpty() ? null : blocked.first();
    }

    Set<JobState> blocked() {
        return blocked;
    }

    JobState firstBlockedGang() {
        return blockedGangs.isEmpty() ? null : blockedGangs.first();
    }

    Set<JobState> blockedGangs() {
        return blockedGangs;
    }

    /** Whether any job is blocked for lack of free capacity. */
    boolean hasBlockedByCapacity() {
        return blockedByCapacityCount > 0;
    }

    boolean hasBlockedUrgent() {
        return blockedUrgentCount > 0;
    }

    boolean isEmpty() {
        return ready.isEmpty() && blocked.isEmpty();
    }

    /** The first blocked job, except gangs, that fits the available resources and is eligible, or null. */
    JobState firstBlockedWithin(Resources available, Predicate<JobState> eligible) {
        int availableKey = ResourceBuckets.keyOf(available);
        JobState best = null;
        for (Map.Entry<Integer, TreeSet<JobState>> bucket : buckets.entrySet()) {
            if (!ResourceBuckets.mayCover(availableKey, bucket.getKey())) {
                continue;
            }
            JobState found = firstWithin(bucket.getValue(), available, eligible);
            if (found != null && (best == null || order.compare(found, best) < 0)) {
                best = found;
            }
        }
        return best;
    }

    private static JobState firstWithin(Set<JobState> bucket, Resources available, Predicate<JobState> eligible) {
        int checked = 0;
        for (JobState job : bucket) {
            if (available.covers(job.plannedPerTask) && eligible.test(job)) {
                return job;
            }
            if (++checked >= MAX_JOBS_CHECKED_PER_BUCKET) {
                return null;
            }
        }
        return null;
    }
}
