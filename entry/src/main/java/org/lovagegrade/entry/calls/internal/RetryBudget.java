package org.lovagegrade.entry.calls.internal;

/** A token bucket that limits retries to a fraction of the first attempts, to prevent retry storms. */
public final class RetryBudget {
    private static final double TOKENS_PER_CALL = 0.1;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Adds the fraction of a retry that a first attempt allows. */
    public void recordFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_CALL);
    }

    /**
     * Takes one retry from the budget if there is one left.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
