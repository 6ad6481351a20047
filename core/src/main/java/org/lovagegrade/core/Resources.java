package org.lovagegrade.core;

/**
 * Amounts of resources, such as the capacity of an instance or the need of a task.
 *
 * <p>Example: {@code Resources.of(16_000, 65_536, 0).minus(used).covers(need)}
 *
 * @param milliCores processors, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMb, long accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Milli-cores per core. */
    public static final long MILLI_CORES_PER_CORE = 1_000;

    /**
     * Creates amounts.
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
     * Adds amounts.
     *
     * @param other the amounts to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Subtracts amounts; the result may be negative.
     *
     * @param other the amounts to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /**
     * Multiplies all amounts by a factor.
     *
     * @param count the factor
     * @return the product
     */
    public Resources times(long count) {
        return new Resources(milliCores * count, memoryMb * count, accelerators * count);
    }

    /**
     * Returns the greater amount of each kind.
     *
     * @param other the amounts to compare with
     * @return the smallest amounts that cover both
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns the smaller amount of each kind.
     *
     * @param other the amounts to compare with
     * @return the largest amounts that both cover
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
     * @param need the amounts needed
     * @return true if the need fits
     */
    public boolean covers(Resources need) {
        return need.milliCores <= milliCores && need.memoryMb <= memoryMb && need.accelerators <= accelerators;
    }

    /**
     * Whether any amount is negative.
     *
     * @return true if at least one amount is below zero
     */
    public boolean isNegative() {
        return milliCores < 0 || memoryMb < 0 || accelerators < 0;
    }

    /**
     * Counts how many times a need fits into these amounts at once.
     *
     * @param need the amounts needed, not {@link #NONE}
     * @return the number of times, zero or more
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
     * Returns the dominant share of a total: the largest of the fractions by kind.
     *
     * @param total the total amounts
     * @return zero or more; kinds without any total amount are ignored
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
