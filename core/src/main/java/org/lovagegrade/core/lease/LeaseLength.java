package org.lovagegrade.core.lease;

import java.util.OptionalLong;

/** Derives the length of leases from a class's recovery target. */
public final class LeaseLength {
    /** The length without a recovery target, in milliseconds. */
    public static final long DEFAULT_MS = 30_000;

    /** The shortest length, in milliseconds; several heartbeats must fit into it. */
    public static final long MIN_MS = 5_000;

    /** The longest length, in milliseconds. */
    public static final long MAX_MS = 3_600_000;

    /** What is left of a recovery target for detection and a new start, as a divisor. */
    private static final long RECOVERY_RESERVE_DIVISOR = 4;

    /** The bound on how far two clocks drift apart, in parts per thousand. */
    private static final long CLOCK_DRIFT_PER_MILLE = 10;

    private static final long PER_MILLE = 1_000;

    private LeaseLength() {}

    /**
     * Derives the length.
     *
     * @param recoveryTargetMs how soon lost work is to run again, in milliseconds
     * @return the length of a lease in milliseconds
     */
    public static long fromRecoveryTarget(OptionalLong recoveryTargetMs) {
        if (recoveryTargetMs.isEmpty()) {
            return DEFAULT_MS;
        }
        long targetMs = recoveryTargetMs.getAsLong();
        return Math.max(MIN_MS, Math.min(MAX_MS, targetMs - targetMs / RECOVERY_RESERVE_DIVISOR));
    }

    /**
     * Adds the bound on clock drift to a length, for the side that waits until a lease is surely over.
     *
     * @param leaseMs the length as granted, in milliseconds
     * @return the length to wait, in milliseconds
     */
    public static long withDriftBound(long leaseMs) {
        return leaseMs + leaseMs * CLOCK_DRIFT_PER_MILLE / PER_MILLE;
    }
}
