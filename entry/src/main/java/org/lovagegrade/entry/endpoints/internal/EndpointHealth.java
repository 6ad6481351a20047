package org.lovagegrade.entry.endpoints.internal;

/** Judges an endpoint by what is seen of it: after failures in a row it gets nothing but one trial call at a time. */
public final class EndpointHealth {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long INITIAL_PAUSE_MS = 1_000;
    private static final long MAX_PAUSE_MS = 30_000;

    private int consecutiveFailures;
    private boolean ejected;
    private boolean trialRunning;
    private long pauseMs = INITIAL_PAUSE_MS;
    private long nextTrialMs;

    /** Notes an answer that speaks for the endpoint. */
    public void succeeded() {
        consecutiveFailures = 0;
        ejected = false;
        trialRunning = false;
        pauseMs = INITIAL_PAUSE_MS;
    }

    /**
     * Notes a failure of the endpoint.
     *
     * @param nowMs the present time in milliseconds
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
     * Whether the endpoint is set apart.
     *
     * @return true if it gets only trial calls
     */
    public boolean isEjected() {
        return ejected;
    }

    /**
     * Whether a trial call may be sent.
     *
     * @param nowMs the present time in milliseconds
     * @return true if the pause is over and no trial runs
     */
    public boolean mayStartTrial(long nowMs) {
        return ejected && !trialRunning && nowMs >= nextTrialMs;
    }

    /** Notes that a trial call was sent. */
    public void trialStarted() {
        trialRunning = true;
    }
}
