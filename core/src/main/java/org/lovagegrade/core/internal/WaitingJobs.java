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
 * The waiting jobs of one workspace: open ones, which are still to be tried, and parked ones, for which there was no room.
 *
 * <p>Parked jobs stand in groups by size, so that when room appears only jobs that may fit are looked at.
 */
final class WaitingJobs {
    private static final int JOBS_SEEN_PER_GROUP = 8;

    private final Comparator<JobState> order;
    private final TreeSet<JobState> open;
    private final TreeSet<JobState> parked;
    private final TreeMap<Integer, TreeSet<JobState>> groups = new TreeMap<>();
    private final TreeSet<JobState> parkedGangs;
    private int parkedForRoom;
    private int parkedUrgent;

    WaitingJobs(Comparator<JobState> order) {
        this.order = order;
        this.open = new TreeSet<>(order);
        this.parked = new TreeSet<>(order);
        this.parkedGangs = new TreeSet<>(order);
    }

    void open(JobState job) {
        remove(job);
        open.add(job);
    }

    void park(JobState job) {
        remove(job);
        parked.add(job);
        job.parkedForRoom = job.waitReason == Reason.NO_ROOM;
        parkedForRoom += job.parkedForRoom ? 1 : 0;
        parkedUrgent += job.isUrgent() ? 1 : 0;
        if (job.isGang()) {
            parkedGangs.add(job);
            return;
        }
        groups.computeIfAbsent(Levels.keyOf(job.planned), _unused -> new TreeSet<>(order))
                .add(job);
    }

    /** Takes a job out; must be called before its planned size changes. */
    void remove(JobState job) {
        if (open.remove(job) || !parked.remove(job)) {
            return;
        }
        parkedForRoom -= job.parkedForRoom ? 1 : 0;
        parkedUrgent -= job.isUrgent() ? 1 : 0;
        if (job.isGang()) {
            parkedGangs.remove(job);
            return;
        }
        int key = Levels.keyOf(job.planned);
        TreeSet<JobState> group = groups.get(key);
        group.remove(job);
        if (group.isEmpty()) {
            groups.remove(key);
        }
    }

    JobState firstOpen() {
        return open.isEmpty() ? null : open.first();
    }

    JobState firstParked() {
        return parked.isEmpty() ? null : parked.first();
    }

    Set<JobState> parked() {
        return parked;
    }

    JobState firstParkedGang() {
        return parkedGangs.isEmpty() ? null : parkedGangs.first();
    }

    Set<JobState> parkedGangs() {
        return parkedGangs;
    }

    /** Whether any job waits that found no room. */
    boolean hasParkedForRoom() {
        return parkedForRoom > 0;
    }

    boolean hasParkedUrgent() {
        return parkedUrgent > 0;
    }

    boolean isEmpty() {
        return open.isEmpty() && parked.isEmpty();
    }

    /** The first parked job, gangs aside, that the given room covers and that passes the test, or null. */
    JobState firstParkedWithin(Resources room, Predicate<JobState> allowed) {
        int roomKey = Levels.keyOf(room);
        JobState best = null;
        for (Map.Entry<Integer, TreeSet<JobState>> group : groups.entrySet()) {
            if (!Levels.mayCover(roomKey, group.getKey())) {
                continue;
            }
            JobState found = firstWithin(group.getValue(), room, allowed);
            if (found != null && (best == null || order.compare(found, best) < 0)) {
                best = found;
            }
        }
        return best;
    }

    private static JobState firstWithin(Set<JobState> group, Resources room, Predicate<JobState> allowed) {
        int seen = 0;
        for (JobState job : group) {
            if (room.covers(job.planned) && allowed.test(job)) {
                return job;
            }
            if (++seen >= JOBS_SEEN_PER_GROUP) {
                return null;
            }
        }
        return null;
    }
}
