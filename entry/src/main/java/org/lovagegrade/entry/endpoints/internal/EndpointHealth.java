package org.lovagegrade.entry.endpoints.internal;

/**
 * The health of an endpoint by the results of its calls. Consecutive failures eject it; an ejected endpoint gets only
 * one trial call at a time, each after a pause that doubles with every failed trial up to a maximum.
 */
public final class EndpointHealth {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long INITIAL_PAUSE_MS = 1_000;
    private static final long MAX_PAUSE_MS = 30_000;

    private int consecutiveFailures;
    private boolean ejected;
    private boolean trialRunning;
    private long pauseMs = INITIAL_PAUSE_MS;
    private long nextTrialMs;

    /** Records a successful call, which ends an ejection. */
    public void succeeded() {
        consecutiveFailures = 0;
        ejected = false;
        trialRunning = false;
        pauseMs = INITIAL_PAUSE_MS;
    }

    /**
     * Records a failed call.
     *
     * @param nowMs the current time on the monotonic clock, in milliseconds
     */
    public void failed(long nowMs) {
        consecutiveFailures++;
        trialRunning = false;
        if (ejected) {
            pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
        }
        if (consecutiveFailures >= FAILURES_TO_EJECT) {
            ejected = true;
            nextTrialMs = nowMs + pauseMs;
        }
    }

    /**
     * Returns whether the endpoint is ejected.
     *
     * @return true if it gets only trial calls
     */
    public boolean isEjected() {
        return ejected;
    }

    /**
     * Returns whether a trial call may be sent.
     *
     * @param nowMs the current time on the monotonic clock, in milliseconds
     * @return true if the endpoint is ejected, the pause is over and no trial is running
     */
    public boolean mayStartTrial(long nowMs) {
        return ejected && !trialRunning && nowMs >= nextTrialMs;
    }

    /** Records that a trial call was sent. */
    public void trialStarted() {
        trialRunning = true;
    }
}
