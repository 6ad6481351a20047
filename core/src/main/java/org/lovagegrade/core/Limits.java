package org.lovagegrade.core;

import java.util.OptionalLong;

/**
 * The upper limits of a workspace across the whole fleet.
 *
 * <p>Example: {@code Limits.of(OptionalLong.of(64_000), OptionalLong.empty(), OptionalLong.empty())}
 *
 * @param maxUsage the maximum resources that running tasks may use; {@link Long#MAX_VALUE} where there is no limit
 */
public record Limits(Resources maxUsage) {
    /** No limits. */
    public static final Limits UNLIMITED = new Limits(Resources.of(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE));

    /**
     * Creates limits; an empty value means no limit.
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
     * Whether a usage is within the limits.
     *
     * @param used the resources used
     * @return true if it is within the limits
     */
    public boolean allow(Resources used) {
        return maxUsage.covers(used);
    }

    /**
     * Returns the difference between the limits and a usage.
     *
     * @param used the resources used
     * @return the amounts left, negative where a limit is exceeded
     */
    public Resources headroom(Resources used) {
        return maxUsage.minus(used);
    }
}
