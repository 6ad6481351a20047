package org.lovagegrade.entry.calls.internal;

/** Lets retries be at most a part of first attempts, so that a retry storm can't arise. */
public final class RetryBudget {
    private static final double TOKENS_PER_CALL = 0.1;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Notes a first attempt. */
    public void recordFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_CALL);
    }

    /**
     * Takes one retry.
     *
     * @return false if the budget is spent
     */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
