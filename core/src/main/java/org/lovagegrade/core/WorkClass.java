package org.lovagegrade.core;

import java.util.OptionalLong;

/**
 * A class of work and its targets.
 *
 * @param id the class's id
 * @param kind the kind of work
 * @param waitTargetMs the target for the wait before a job starts, in milliseconds
 * @param recoveryTargetMs the target for the time until a lost task runs again, in milliseconds
 * @param shareTargetMs the target for the time until a workspace reaches its share, in milliseconds
 */
public record WorkClass(
        String id,
        ClassKind kind,
        OptionalLong waitTargetMs,
        OptionalLong recoveryTargetMs,
        OptionalLong shareTargetMs) {
    /** The longest wait target of an urgent class, in milliseconds. */
    public static final long URGENT_WAIT_TARGET_MS = 10_000;

    /**
     * Whether jobs of this class are urgent.
     *
     * @return true if the wait target is at most {@link #URGENT_WAIT_TARGET_MS}
     */
    public boolean isUrgent() {
        return waitTargetMs.isPresent() && waitTargetMs.getAsLong() <= URGENT_WAIT_TARGET_MS;
    }
}
