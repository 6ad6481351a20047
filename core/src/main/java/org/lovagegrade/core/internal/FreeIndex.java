package org.lovagegrade.core.internal;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.lovagegrade.core.Resources;

/**
 * Finds workers by what they have free, without looking at each of them.
 *
 * <p>Workers stand in groups by the levels of their free amounts. A search looks at every group that may cover the
 * need, but only at a few workers of each.
 */
final class FreeIndex {
    static final int NOT_INDEXED = -1;

    private static final int WORKERS_SEEN_PER_GROUP = 4;
    private static final int WORKERS_SEEN_AT_MOST = 64;

    private final TreeMap<Integer, TreeSet<WorkerState>> groups = new TreeMap<>();

    /** Scores a worker for a job; the lowest score wins. */
    @FunctionalInterface
    interface Score {
        double of(WorkerState worker, JobState job);
    }

    void add(WorkerState worker) {
        remove(worker);
        int key = Levels.keyOf(worker.free);
        groups.computeIfAbsent(key, _unused -> new TreeSet<>(WorkerState.BY_ID)).add(worker);
        worker.indexedLevel = key;
    }

    void remove(WorkerState worker) {
        if (worker.indexedLevel == NOT_INDEXED) {
            return;
        }
        TreeSet<WorkerState> group = groups.get(worker.indexedLevel);
        group.remove(worker);
        if (group.isEmpty()) {
            groups.remove(worker.indexedLevel);
        }
        worker.indexedLevel = NOT_INDEXED;
    }

    /** Moves a worker to the group that its free amounts call for. */
    void refresh(WorkerState worker) {
        if (worker.indexedLevel != NOT_INDEXED && worker.indexedLevel != Levels.keyOf(worker.free)) {
            add(worker);
        }
    }

    /** The best of the workers seen that cover the need, or null. */
    WorkerState best(JobState job, Score score, Predicate<WorkerState> allowed) {
        Resources need = job.planned;
        int needKey = Levels.keyOf(need);
        WorkerState best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        int seen = 0;
        for (Map.Entry<Integer, TreeSet<WorkerState>> group : groups.entrySet()) {
            if (!Levels.mayCover(group.getKey(), needKey)) {
                continue;
            }
            int fitting = 0;
            for (WorkerState worker : group.getValue()) {
                if (!worker.free.covers(need) || !allowed.test(worker)) {
                    continue;
                }
                double workerScore = score.of(worker, job);
                if (workerScore < bestScore) {
                    bestScore = workerScore;
                    best = worker;
                }
                if (++fitting >= WORKERS_SEEN_PER_GROUP) {
                    break;
                }
            }
            seen += fitting;
            if (seen >= WORKERS_SEEN_AT_MOST) {
                break;
            }
        }
        return best;
    }
}
