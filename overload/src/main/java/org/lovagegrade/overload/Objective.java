package org.lovagegrade.overload;

/**
 * The times until which a result has its full value, and until which it has any value.
 *
 * <p>Example: {@code Objective.within(1_750).from(submittedMs)}
 *
 * @param dueAtMs the time from which the objective counts, in milliseconds since 1970
 * @param objectiveMs a result has its full value up to this time after {@code dueAtMs}, in milliseconds
 * @param usefulMs a result has any value up to this time after {@code dueAtMs}, in milliseconds
 */
public record Objective(long dueAtMs, long objectiveMs, long usefulMs) {
    /** A result is useful if it takes at most this many times the objective. */
    public static final int USEFUL_FACTOR = 3;

    /** Longer than any wait, and small enough not to overflow in sums with times since 1970. */
    private static final long UNLIMITED_MS = Long.MAX_VALUE / 8;

    /**
     * Creates an objective that counts from 1970; it is useful for three times as long.
     *
     * @param objectiveMs the time within which a result has its full value, in milliseconds
     * @return the objective
     */
    public static Objective within(long objectiveMs) {
        return new Objective(0, objectiveMs, objectiveMs * USEFUL_FACTOR);
    }

    /**
     * Creates the objective of work that never comes too late, such as a service.
     *
     * @return the objective
     */
    public static Objective unlimited() {
        return new Objective(0, UNLIMITED_MS, UNLIMITED_MS);
    }

    /**
     * Sets the time from which the objective counts.
     *
     * @param startMs the time, in milliseconds since 1970
     * @return the same objective from that time
     */
    public Objective from(long startMs) {
        return new Objective(startMs, objectiveMs, usefulMs);
    }

    /**
     * Whether the work never comes too late.
     *
     * @return true for {@link #unlimited()}
     */
    public boolean isUnlimited() {
        return objectiveMs >= UNLIMITED_MS;
    }

    long inTimeUntilMs() {
        return dueAtMs + objectiveMs;
    }

    long usefulUntilMs() {
        return dueAtMs + usefulMs;
    }
}
