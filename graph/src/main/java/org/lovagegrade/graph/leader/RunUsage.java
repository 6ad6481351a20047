package org.lovagegrade.graph.leader;

import org.lovagegrade.graph.planning.WorkEstimate;

/**
 * What a run used of its worker.
 *
 * @param coreMs its cores times the time that it existed, in core-milliseconds
 * @param savedCoreMs the part of it up to the checkpoint from which the next run resumes; 0 if the result counts
 * @param waste why the remaining part was lost
 */
record RunUsage(long coreMs, long savedCoreMs, WasteCause waste) {
    /** A run that used nothing, or whose use was reported before. */
    static final RunUsage NONE = new RunUsage(0, 0, WasteCause.NONE);

    /** The use of a run that holds the given cores for {@code usedMs}, of which {@code savedMs} are not lost. */
    static RunUsage of(long milliCores, long usedMs, long savedMs, WasteCause waste) {
        return new RunUsage(WorkEstimate.coreMs(milliCores, usedMs), WorkEstimate.coreMs(milliCores, savedMs), waste);
    }

    long wastedCoreMs() {
        return waste == WasteCause.NONE ? 0 : coreMs - savedCoreMs;
    }
}
