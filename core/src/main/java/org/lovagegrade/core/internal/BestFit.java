package org.lovagegrade.core.internal;

import org.lovagegrade.core.Resources;

/**
 * Best-fit worker search: prefers the worker with the least and most balanced resources left after the placement.
 * Workers without accelerators are preferred for tasks that need none, and services are spread over failure domains,
 * racks and workers.
 */
final class BestFit {
    private static final double IMBALANCE_WEIGHT = 2.0;
    private static final double IDLE_ACCELERATOR_WEIGHT = 4.0;
    private static final double SAME_DOMAIN_WEIGHT = 10.0;
    private static final double SAME_RACK_WEIGHT = 3.0;
    private static final double SAME_WORKER_WEIGHT = 3.0;

    private BestFit() {}

    static WorkerState find(Cell cell, JobState job) {
        WorkerState reserved = reservedWorker(job);
        if (reserved != null) {
            return reserved;
        }
        WorkerState best = cell.index().best(job, BestFit::score, worker -> cell.isEligible(worker, job));
        return best == null && job.isUrgent() ? reservedForOther(cell, job) : best;
    }

    /** Finds a worker for an urgent job among those reserved for jobs that are not urgent. */
    private static WorkerState reservedForOther(Cell cell, JobState job) {
        for (WorkerState worker : cell.reservedWorkers()) {
            if (worker.free.covers(job.plannedPerTask) && cell.isEligible(worker, job)) {
                return worker;
            }
        }
        return null;
    }

    private static WorkerState reservedWorker(JobState job) {
        for (WorkerState worker : job.reservedWorkers) {
            if (worker.isUsable() && !worker.isClosedTo(job) && worker.free.covers(job.plannedPerTask)) {
                return worker;
            }
        }
        return null;
    }

    /** Scores the fractions of the worker's capacity left after the placement and their imbalance; lower is better. */
    static double score(WorkerState worker, JobState job) {
        Resources left = worker.free.minus(job.plannedPerTask);
        Resources capacity = worker.spec.capacity();
        double coresLeft = fraction(left.milliCores(), capacity.milliCores());
        double memoryLeft = fraction(left.memoryMb(), capacity.memoryMb());
        double score = coresLeft + memoryLeft + IMBALANCE_WEIGHT * Math.abs(coresLeft - memoryLeft);
        if (job.plannedPerTask.accelerators() == 0 && capacity.accelerators() > 0) {
            score += IDLE_ACCELERATOR_WEIGHT * fraction(left.accelerators(), capacity.accelerators());
        }
        return job.isService() ? score + spreadPenalty(worker, job) : score;
    }

    /** Penalizes a worker that shares its failure domain or rack, or itself, with placed tasks of the same service. */
    private static double spreadPenalty(WorkerState worker, JobState job) {
        double score = 0;
        for (TaskState task : job.tasks) {
            if (!task.isOnWorker()) {
                continue;
            }
            if (task.worker.spec.failureDomain().equals(worker.spec.failureDomain())) {
                score += SAME_DOMAIN_WEIGHT;
            }
            if (task.worker.spec.rack().equals(worker.spec.rack())) {
                score += SAME_RACK_WEIGHT;
            }
            if (task.worker == worker) {
                score += SAME_WORKER_WEIGHT;
            }
        }
        return score;
    }

    private static double fraction(long amount, long total) {
        return total == 0 ? 0 : (double) amount / total;
    }
}
