package org.lovagegrade.graph.planning;

import org.lovagegrade.graph.machine.ResourceVector;

/**
 * The expected end of a run, which frees capacity.
 *
 * @param amount the resources that the run holds
 * @param atMs when it is expected to end, on the monotonic clock in milliseconds, or {@link #NEVER} or
 *     {@link #UNKNOWN}
 */
public record CapacityRelease(ResourceVector amount, long atMs) {
    /** The end of a run that lasts until it is stopped. */
    public static final long NEVER = Long.MAX_VALUE;

    /** The end of a run without an estimate. */
    public static final long UNKNOWN = Long.MAX_VALUE - 1;

    /**
     * Determines when a run ends that starts now.
     *
     * @param nowMs the present time, on the monotonic clock in milliseconds
     * @param durationMs how long the run takes, in milliseconds, or {@link #NEVER} or {@link #UNKNOWN}
     * @return the time in milliseconds, or the same constant
     */
    public static long endOf(long nowMs, long durationMs) {
        return durationMs >= UNKNOWN ? durationMs : nowMs + durationMs;
    }
}
