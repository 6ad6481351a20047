package org.lovagegrade.core;

import java.util.OptionalLong;

/**
 * A class of work and the targets stated for it.
 *
 * @param id the class's id
 * @param kind the kind of work
 * @param waitTargetMs how long work may wait for its start, in milliseconds
 * @param recoveryTargetMs how soon lost work is to run again, in milliseconds
 * @param shareTargetMs how soon a workspace is to reach its share, in milliseconds
 */
public record WorkClass(
        String id,
        ClassKind kind,
        OptionalLong waitTargetMs,
        OptionalLong recoveryTargetMs,
        OptionalLong shareTargetMs) {
    /** Work whose waiting target is at most this counts as urgent, in milliseconds. */
    public static final long URGENT_WAIT_TARGET_MS = 10_000;

    /**
     * Whether someone waits for this work.
     *
     * @return true if its waiting target is at most {@link #URGENT_WAIT_TARGET_MS}
     */
    public boolean isUrgent() {
        return waitTargetMs.isPresent() && waitTargetMs.getAsLong() <= URGENT_WAIT_TARGET_MS;
    }
}
