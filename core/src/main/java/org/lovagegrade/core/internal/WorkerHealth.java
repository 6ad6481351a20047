package org.lovagegrade.core.internal;

/** Judges a worker by the tasks that fail on it compared with how the same jobs fare elsewhere. */
final class WorkerHealth {
    private static final int FAILURES_TO_SUSPECT = 3;
    private static final int OTHER_WORKERS_TO_EXCUSE = 2;
    private static final long FIRST_PROBE_PAUSE_MS = 10_000;
    private static final long LONGEST_PROBE_PAUSE_MS = 300_000;

    private int blame;
    private boolean suspect;
    private boolean probing;
    private long probePauseMs = FIRST_PROBE_PAUSE_MS;
    private long nextProbeMs;

    boolean isSuspect() {
        return suspect;
    }

    /** Notes a failure; one of a job that fails on other workers too is the job's own. */
    void failed(int otherWorkersWhereItFailed, long nowMs) {
        if (suspect) {
            probing = false;
            probePauseMs = Math.min(LONGEST_PROBE_PAUSE_MS, probePauseMs * 2);
            nextProbeMs = nowMs + probePauseMs;
            return;
        }
        if (otherWorkersWhereItFailed >= OTHER_WORKERS_TO_EXCUSE) {
            return;
        }
        blame++;
        if (blame >= FAILURES_TO_SUSPECT) {
            suspect = true;
            nextProbeMs = nowMs + probePauseMs;
        }
    }

    void succeeded() {
        blame = 0;
        suspect = false;
        probing = false;
        probePauseMs = FIRST_PROBE_PAUSE_MS;
    }

    boolean mayProbe(long nowMs) {
        return suspect && !probing && nowMs >= nextProbeMs;
    }

    boolean awaitsProbe(long nowMs) {
        return suspect && !probing && nowMs < nextProbeMs;
    }

    void probeStarted() {
        probing = true;
    }

    void probeEndedWithoutResult() {
        probing = false;
    }

    long nextProbeMs() {
        return nextProbeMs;
    }
}
