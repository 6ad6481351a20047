package org.lovagegrade.core.lease;

import java.util.OptionalLong;

/** Derives the length of leases from a class's recovery target. */
public final class LeaseLength {
    /** The lease length for classes without a recovery target, in milliseconds. */
    public static final long DEFAULT_MS = 30_000;

    /** The minimum length in milliseconds; several heartbeats must fit into it. */
    public static final long MIN_MS = 5_000;

    /** The maximum length in milliseconds. */
    public static final long MAX_MS = 3_600_000;

    /** The part of a recovery target kept for detection and restart: the target divided by this. */
    private static final long RECOVERY_RESERVE_DIVISOR = 4;

    /** The bound on the drift between two clocks, in parts per thousand. */
    private static final long CLOCK_DRIFT_PER_MILLE = 10;

    private static final long PER_MILLE = 1_000;

    private LeaseLength() {}

    /**
     * Derives the lease length from a recovery target.
     *
     * @param recoveryTargetMs the target for the time until a lost task runs again, in milliseconds
     * @return the lease length in milliseconds, from {@link #MIN_MS} to {@link #MAX_MS}
     */
    public static long fromRecoveryTarget(OptionalLong recoveryTargetMs) {
        if (recoveryTargetMs.isEmpty()) {
            return DEFAULT_MS;
        }
        long targetMs = recoveryTargetMs.getAsLong();
        return Math.max(MIN_MS, Math.min(MAX_MS, targetMs - targetMs / RECOVERY_RESERVE_DIVISOR));
    }

    /**
     * Adds the bound on clock drift to a lease length, for the side that must wait until a lease has certainly expired.
     *
     * @param leaseMs the granted length in milliseconds
     * @return the time to wait in milliseconds
     */
    public static long withDriftBound(long leaseMs) {
        return leaseMs + leaseMs * CLOCK_DRIFT_PER_MILLE / PER_MILLE;
    }
}
