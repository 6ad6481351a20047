package org.lovagegrade.graph.leader;

/**
 * What a run used of its worker.
 *
 * @param coreMs its cores times the time that it existed, in core-milliseconds
 * @param savedCoreMs the part of it up to the checkpoint from which the next run resumes; 0 if the result counts
 * @param waste why the remaining part was lost
 */
record RunUsage(long coreMs, long savedCoreMs, WasteCause waste) {
    private static final long MILLI_CORES_PER_CORE = 1_000;

    /** A run that used nothing, or whose use was reported before. */
    static final RunUsage NONE = new RunUsage(0, 0, WasteCause.NONE);

    /** The use of a run that holds the given cores for {@code usedMs}, of which {@code savedMs} are not lost. */
    static RunUsage of(long milliCores, long usedMs, long savedMs, WasteCause waste) {
        return new RunUsage(
                milliCores * usedMs / MILLI_CORES_PER_CORE, milliCores * savedMs / MILLI_CORES_PER_CORE, waste);
    }

    long wastedCoreMs() {
        return waste == WasteCause.NONE ? 0 : coreMs - savedCoreMs;
    }
}
