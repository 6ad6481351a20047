package org.lovagegrade.overload;

/** What a result is worth to its caller at the time at which it is expected; the best comes first. */
public enum Outcome {
    /** The objective can be met. */
    IN_TIME(1),
    /** The objective will be missed, but the result is still useful. */
    LATE(0.2),
    /** The result comes too late to be useful. */
    USELESS(0);

    private final double valueShare;

    Outcome(double valueShare) {
        this.valueShare = valueShare;
    }

    /**
     * The part of its full value that a result keeps.
     *
     * @return a number from 0 to 1
     */
    public double valueShare() {
        return valueShare;
    }

    /**
     * Determines the outcome of a result.
     *
     * @param objective the objective
     * @param endMs when the result is expected, in milliseconds since 1970
     * @return the outcome
     */
    public static Outcome of(Objective objective, long endMs) {
        if (endMs <= objective.inTimeUntilMs()) {
            return IN_TIME;
        }
        return endMs <= objective.usefulUntilMs() ? LATE : USELESS;
    }
}
