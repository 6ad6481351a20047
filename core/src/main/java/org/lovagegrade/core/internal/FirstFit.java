package org.lovagegrade.core.internal;

/** Takes the first worker by id that fits; a baseline whose cost grows with the number of workers. */
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
