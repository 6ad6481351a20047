package org.lovagegrade.core.internal;

/** First-fit worker search by worker id: a baseline whose cost is linear in the number of workers. */
final class FirstFit {
    private FirstFit() {}

    static WorkerState find(Cell cell, JobState job) {
        for (WorkerState worker : cell.workers()) {
            if (cell.isEligible(worker, job) && worker.free.covers(job.plannedPerTask)) {
                return worker;
            }
        }
        return null;
    }
}
