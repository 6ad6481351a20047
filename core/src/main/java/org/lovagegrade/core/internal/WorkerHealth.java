package org.lovagegrade.core.internal;

/**
 * Detects unhealthy workers by task failures. Failures of jobs that also fail on other workers are attributed to the
 * job. A suspect worker gets single tasks as probes, with exponential backoff, until one succeeds.
 */
final class WorkerHealth {
    private static final int FAILURES_UNTIL_SUSPECT = 3;
    private static final int OTHER_WORKERS_TO_BLAME_JOB = 2;
    private static final long INITIAL_PROBE_DELAY_MS = 10_000;
    private static final long MAX_PROBE_DELAY_MS = 300_000;

    private int attributedFailures;
    private boolean suspect;
    private boolean probing;
    private long probeDelayMs = INITIAL_PROBE_DELAY_MS;
    private long nextProbeMs;

    boolean isSuspect() {
        return suspect;
    }

    /** Records a failure; it does not count against the worker if the job also failed on several other workers. */
    void recordFailure(int otherFailedWorkers, long nowMs) {
        if (suspect) {
            probing = false;
            probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, probeDelayMs * 2);
            nextProbeMs = nowMs + probeDelayMs;
            return;
        }
        if (otherFailedWorkers >= OTHER_WORKERS_TO_BLAME_JOB) {
            return;
        }
        attributedFailures++;
        if (attributedFailures >= FAILURES_UNTIL_SUSPECT) {
            suspect = true;
            nextProbeMs = nowMs + probeDelayMs;
        }
    }

    void recordSuccess() {
        attributedFailures = 0;
        suspect = false;
        probing = false;
        probeDelayMs = INITIAL_PROBE_DELAY_MS;
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
