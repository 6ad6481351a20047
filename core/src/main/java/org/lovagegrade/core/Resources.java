package org.lovagegrade.core;

/**
 * Amounts of what an instance has.
 *
 * <p>Example: {@code Resources.of(16_000, 65_536, 0).minus(used).covers(need)}
 *
 * @param milliCores processors, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMb, long accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** The number of thousandths in one core. */
    public static final long MILLI_CORES_PER_CORE = 1_000;

    /**
     * Names the amounts.
     *
     * @param milliCores processors, in thousandths of a core
     * @param memoryMb memory, in megabytes
     * @param accelerators whole accelerators
     * @return the amounts
     */
    public static Resources of(long milliCores, long memoryMb, long accelerators) {
        return new Resources(milliCores, memoryMb, accelerators);
    }

    /**
     * Adds.
     *
     * @param other what to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Subtracts; amounts may become negative.
     *
     * @param other what to take away
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /**
     * Multiplies.
     *
     * @param count the factor
     * @return the product
     */
    public Resources times(long count) {
        return new Resources(milliCores * count, memoryMb * count, accelerators * count);
    }

    /**
     * Takes the greater amount of each kind.
     *
     * @param other what to compare with
     * @return the least amounts that cover both
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Takes the lesser amount of each kind.
     *
     * @param other what to compare with
     * @return the greatest amounts that both cover
     */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(milliCores, other.milliCores),
                Math.min(memoryMb, other.memoryMb),
                Math.min(accelerators, other.accelerators));
    }

    /**
     * Whether there is at least as much of each kind as needed.
     *
     * @param need what is needed
     * @return true if the need fits
     */
    public boolean covers(Resources need) {
        return need.milliCores <= milliCores && need.memoryMb <= memoryMb && need.accelerators <= accelerators;
    }

    /**
     * Whether any amount is below zero.
     *
     * @return true if so
     */
    public boolean isNegative() {
        return milliCores < 0 || memoryMb < 0 || accelerators < 0;
    }

    /**
     * Counts how often a need fits at the same time.
     *
     * @param need what is needed, not {@link #NONE}
     * @return zero or more
     */
    public long fitCount(Resources need) {
        long times = Long.MAX_VALUE;
        if (need.milliCores > 0) {
            times = Math.min(times, milliCores / need.milliCores);
        }
        if (need.memoryMb > 0) {
            times = Math.min(times, memoryMb / need.memoryMb);
        }
        if (need.accelerators > 0) {
            times = Math.min(times, accelerators / need.accelerators);
        }
        return Math.max(0, times);
    }

    /**
     * The largest fraction that these amounts are of a total.
     *
     * @param total the total
     * @return zero or more; kinds of which the total has nothing do not count
     */
    public double dominantShareOf(Resources total) {
        double share = 0;
        if (total.milliCores > 0) {
            share = Math.max(share, (double) milliCores / total.milliCores);
        }
        if (total.memoryMb > 0) {
            share = Math.max(share, (double) memoryMb / total.memoryMb);
        }
        if (total.accelerators > 0) {
            share = Math.max(share, (double) accelerators / total.accelerators);
        }
        return share;
    }
}
