package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.CrashHistoryProto;
import org.lovagegrade.wire.proto.RunLossProto;

/**
 * The crashes of workers under the runs of one task. A worker that crashes takes all of its runs along, and nobody
 * reports which of them is to blame. A run that had only just begun, or whose task lost a worker before, makes its task
 * a suspect: its next run shares its worker with no other job. Only crashes in isolation are held against a task, and
 * none that several workers had in common.
 *
 * @param crashes the number of workers that crashed with a run of the task
 * @param isolatedCrashes the number of those crashes that no other job can have caused
 * @param isSuspect whether the task may be the cause of a crash
 * @param longestSurvivalMs for how long a worker is known to have gone on with a run before it crashed, in milliseconds
 * @param lastCrashedRun the number of the last run that was lost in a crash, or 0
 */
public record CrashHistory(
        int crashes, int isolatedCrashes, boolean isSuspect, long longestSurvivalMs, int lastCrashedRun) {
    /** The history of a task that has lost no run with its worker. */
    public static final CrashHistory NONE = new CrashHistory(0, 0, false, 0, 0);

    private static final int MIN_CRASHES_OF_SUSPECT = 2;
    private static final int MAX_ISOLATED_CRASHES = 2;
    private static final int MAX_CRASHES = 5;
    /** A run that lasted this long was not what crashed the workers before it. */
    private static final long HARMLESS_AFTER_MS = 60_000;

    /** Returns this history with the loss of a run; repeated reports about one run count once. */
    CrashHistory plus(int run, RunLossProto loss) {
        if (run <= lastCrashedRun) {
            return this;
        }
        if (!loss.getCountsAsCrash()) {
            boolean isNowSuspect = isSuspect || loss.getSoonAfterStart();
            return new CrashHistory(crashes, isolatedCrashes, isNowSuspect, longestSurvivalMs, lastCrashedRun);
        }
        CrashHistory before = loss.getSurvivedMs() >= HARMLESS_AFTER_MS ? NONE : this;
        int total = before.crashes + 1;
        boolean countsAgainstTask = loss.getSoonAfterStart() || total > MIN_CRASHES_OF_SUSPECT;
        return new CrashHistory(
                total,
                before.isolatedCrashes + (loss.getIsolated() && countsAgainstTask ? 1 : 0),
                before.isSuspect || loss.getSoonAfterStart() || total >= MIN_CRASHES_OF_SUSPECT,
                Math.max(before.longestSurvivalMs, loss.getSurvivedMs()),
                run);
    }

    /**
     * Whether the task is a suspect only because its worker fell silent, and no worker is known to have crashed under it.
     *
     * @return true if there is no crash to hold against it
     */
    public boolean isUnconfirmedSuspect() {
        return isSuspect && crashes == 0;
    }

    /**
     * Whether the task crashed workers for which nothing else explains the crash.
     *
     * @return true if it did so repeatedly
     */
    public boolean isProvenCause() {
        return isolatedCrashes >= MAX_ISOLATED_CRASHES;
    }

    /**
     * Whether the task must not be started any more.
     *
     * @return true if it crashed workers in isolation, or more workers than chance explains
     */
    public boolean mustBeGivenUp() {
        return isProvenCause() || crashes >= MAX_CRASHES;
    }

    CrashHistoryProto toProto() {
        return CrashHistoryProto.newBuilder()
                .setCrashes(crashes)
                .setIsolatedCrashes(isolatedCrashes)
                .setSuspect(isSuspect)
                .setLongestSurvivalMs(longestSurvivalMs)
                .setLastCrashedRun(lastCrashedRun)
                .build();
    }

    static CrashHistory of(CrashHistoryProto proto) {
        return new CrashHistory(
                proto.getCrashes(),
                proto.getIsolatedCrashes(),
                proto.getSuspect(),
                proto.getLongestSurvivalMs(),
                proto.getLastCrashedRun());
    }
}
