package org.lovagegrade.graph.planning;

import org.lovagegrade.graph.machine.ResourceVector;

/** Capacity of one worker that is held for a gang from a time on. Other runs may use all of it before, and the rest after. */
final class CapacityHold {
    private final int priority;
    private final long fromMs;
    private ResourceVector leftOver;

    /**
     * Creates a hold.
     *
     * @param priority the priority number of the gang; work of a lower number is not bound by the hold
     * @param fromMs when the gang is expected to start, on the monotonic clock in milliseconds
     * @param leftOver the resources that the gang leaves free at that time
     */
    CapacityHold(int priority, long fromMs, ResourceVector leftOver) {
        this.priority = priority;
        this.fromMs = fromMs;
        this.leftOver = leftOver;
    }

    /** Whether work of a priority that ends at {@code endMs} could delay the gang. */
    boolean binds(int otherPriority, long endMs) {
        return otherPriority >= priority && endMs > fromMs;
    }

    /** How many runs that end after the gang's start fit beside it, at most {@code max}. */
    int fitting(ResourceVector need, int max) {
        return need.timesInto(leftOver, max);
    }

    /** Accounts for a run beside the gang. */
    void addRun(ResourceVector amount, long endMs) {
        if (endMs > fromMs) {
            leftOver = leftOver.minus(amount);
        }
    }
}
