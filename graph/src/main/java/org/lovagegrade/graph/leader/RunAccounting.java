package org.lovagegrade.graph.leader;

import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.RunEndProto;

/**
 * Determines what runs used of their workers, and counts what was lost of it. The time that a run spent under an earlier
 * leader is not known and not counted.
 */
final class RunAccounting {
    private static final String WASTED_CORE_MS = "lovagegrade_wasted_core_ms";

    private final Clock clock;
    private final Metrics metrics;

    RunAccounting(Clock clock, Metrics metrics) {
        this.clock = clock;
        this.metrics = metrics.declare(WASTED_CORE_MS, WasteCause.class);
    }

    /**
     * Accounts for the end of a run.
     *
     * @param tracker the run
     * @param how how it ended
     * @param checkpoint the checkpoint from which the next run resumes, or an empty string
     * @return what the run used; nothing if its end was accounted for before
     */
    RunUsage end(RunTracker tracker, RunEndProto how, String checkpoint) {
        if (tracker.accounted) {
            return RunUsage.NONE;
        }
        tracker.accounted = true;
        long nowMs = clock.nowMs();
        long usedMs = tracker.usedMs(how, nowMs);
        WasteCause cause = usedMs == 0 || isLasting(tracker) ? WasteCause.NONE : WasteCause.of(tracker, how);
        long savedMs = cause.leavesTaskOpen() ? Math.min(usedMs, tracker.savedMs(checkpoint, nowMs)) : 0;
        RunUsage usage = RunUsage.of(tracker.run.step().perTask().milliCores(), usedMs, savedMs, cause);
        if (usage.wastedCoreMs() > 0) {
            metrics.add(WASTED_CORE_MS, cause, (double) usage.wastedCoreMs());
        }
        return usage;
    }

    /** A lasting task is of use for as long as it runs. */
    private static boolean isLasting(RunTracker tracker) {
        return tracker.run.step().spec().getLasting();
    }
}
