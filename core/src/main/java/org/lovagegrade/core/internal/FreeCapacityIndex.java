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
final class FreeCapacityIndex {
    static final int NOT_INDEXED = -1;

    private static final int MAX_SCORED_PER_BUCKET = 4;
    private static final int MAX_SCORED = 64;

    private final TreeMap<Integer, TreeSet<WorkerState>> buckets = new TreeMap<>();

    /** Scores a worker for a job; the lowest score wins. */
    @FunctionalInterface
    interface Scorer {
        double score(WorkerState worker, JobState job);
    }

    void add(WorkerState worker) {
        remove(worker);
        int key = ResourceBuckets.keyOf(worker.free);
        buckets.computeIfAbsent(key, _unused -> new TreeSet<>(WorkerState.BY_ID))
                .add(worker);
        worker.indexKey = key;
    }

    void remove(WorkerState worker) {
        if (worker.indexKey == NOT_INDEXED) {
            return;
        }
        TreeSet<WorkerState> bucket = buckets.get(worker.indexKey);
        bucket.remove(worker);
        if (bucket.isEmpty()) {
            buckets.remove(worker.indexKey);
        }
        worker.indexKey = NOT_INDEXED;
    }

    /** Moves a worker to the group that its free amounts call for. */
    void refresh(WorkerState worker) {
        if (worker.indexKey != NOT_INDEXED && worker.indexKey != ResourceBuckets.keyOf(worker.free)) {
            add(worker);
        }
    }

    /** The best of the workers seen that cover the need, or null. */
    WorkerState best(JobState job, Scorer scorer, Predicate<WorkerState> eligible) {
        Resources need = job.plannedPerTask;
        int needKey = ResourceBuckets.keyOf(need);
        WorkerState best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        int scored = 0;
        for (Map.Entry<Integer, TreeSet<WorkerState>> bucket : buckets.entrySet()) {
            if (!ResourceBuckets.mayCover(bucket.getKey(), needKey)) {
                continue;
            }
            int scoredInBucket = 0;
            for (WorkerState worker : bucket.getValue()) {
                if (!worker.free.covers(need) || !eligible.test(worker)) {
                    continue;
                }
                double workerScore = scorer.score(worker, job);
                if (workerScore < bestScore) {
                    bestScore = workerScore;
                    best = worker;
                }
                if (++scoredInBucket >= MAX_SCORED_PER_BUCKET) {
                    break;
                }
            }
            scored += scoredInBucket;
            if (scored >= MAX_SCORED) {
                break;
            }
        }
        return best;
    }
}
