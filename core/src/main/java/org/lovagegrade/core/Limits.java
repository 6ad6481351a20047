package org.lovagegrade.core;

import java.util.OptionalLong;

/**
 * A workspace's upper limits across the whole fleet.
 *
 * <p>Example: {@code Limits.of(OptionalLong.of(64_000), OptionalLong.empty(), OptionalLong.empty())}
 *
 * @param maxUsage the greatest amounts that may run; {@link Long#MAX_VALUE} where there is no limit
 */
public record Limits(Resources maxUsage) {
    /** No limits at all. */
    public static final Limits UNLIMITED = new Limits(Resources.of(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE));

    /**
     * Names the limits.
     *
     * @param milliCores limit on processors, in thousandths of a core
     * @param memoryMb limit on memory, in megabytes
     * @param accelerators limit on accelerators
     * @return the limits
     */
    public static Limits of(OptionalLong milliCores, OptionalLong memoryMb, OptionalLong accelerators) {
        return new Limits(Resources.of(
                milliCores.orElse(Long.MAX_VALUE),
                memoryMb.orElse(Long.MAX_VALUE),
                accelerators.orElse(Long.MAX_VALUE)));
    }

    /**
     * Whether so much may run.
     *
     * @param used what runs
     * @return true if it is within the limits
     */
    public boolean allow(Resources used) {
        return maxUsage.covers(used);
    }

    /**
     * What may run besides.
     *
     * @param used what runs
     * @return the amounts left, negative where the limit is passed
     */
    public Resources headroom(Resources used) {
        return maxUsage.minus(used);
    }
}
