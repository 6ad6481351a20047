package org.lovagegrade.entry.endpoints.internal;

/** Judges an endpoint by what is seen of it: after failures in a row it gets nothing but one trial call at a time. */
public final class EndpointHealth {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_PAUSE_MS = 1_000;
    private static final long LONGEST_PAUSE_MS = 30_000;

    private int failuresInRow;
    private boolean ejected;
    private boolean trying;
    private long pauseMs = FIRST_PAUSE_MS;
    private long nextTrialMs;

    /** Notes an answer that speaks for the endpoint. */
    public void succeeded() {
        failuresInRow = 0;
        ejected = false;
        trying = false;
        pauseMs = FIRST_PAUSE_MS;
    }

    /**
     * Notes a failure of the endpoint.
     *
     * @param nowMs the present time in milliseconds
     */
    public void failed(long nowMs) {
        failuresInRow++;
        trying = false;
        if (ejected) {
            pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
        }
        if (failuresInRow >= FAILURES_TO_EJECT) {
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
    public boolean mayTry(long nowMs) {
        return ejected && !trying && nowMs >= nextTrialMs;
    }

    /** Notes that a trial call was sent. */
    public void trialStarted() {
        trying = true;
    }
}
