package org.lovagegrade.core.internal;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.lovagegrade.core.Resources;

/**
 * Index of workers by free capacity, which avoids a scan of all workers.
 *
 * <p>Workers are grouped into buckets by their free resources. A search visits each bucket that may cover the need, but
 * scores only a few workers of each.
 */
final class FreeCapacityIndex {
    static final int NOT_INDEXED = -1;

    private static final int MAX_SCORED_PER_BUCKET = 4;
    private static final int MAX_SCORED = 64;

    private final TreeMap<Integer, TreeSet<WorkerState>> buckets = new TreeMap<>();

    /** Scores a worker for a job; lower is better. */
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

    /** Moves an indexed worker to the bucket of its current free resources. */
    void refresh(WorkerState worker) {
        if (worker.indexKey != NOT_INDEXED && worker.indexKey != ResourceBuckets.keyOf(worker.free)) {
            add(worker);
        }
    }

    /** The best of the scored workers that have capacity for a task of the job, or null. */
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
