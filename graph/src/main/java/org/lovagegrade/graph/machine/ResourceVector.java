package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.ResourcesProto;

/**
 * An amount of resources.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMb memory in MB
 * @param accelerators a number of accelerators
 */
public record ResourceVector(long milliCores, long memoryMb, long accelerators) {
    /** No room at all. */
    public static final ResourceVector NONE = new ResourceVector(0, 0, 0);

    /**
     * Reads an amount of a message.
     *
     * @param proto the message
     * @return the amount
     */
    public static ResourceVector of(ResourcesProto proto) {
        return new ResourceVector(proto.getMilliCores(), proto.getMemoryMb(), proto.getAccelerators());
    }

    /**
     * Adds an amount.
     *
     * @param other the other amount
     * @return the sum
     */
    public ResourceVector plus(ResourceVector other) {
        return new ResourceVector(
                milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Takes an amount away.
     *
     * @param other the other amount
     * @return the difference, which may be negative
     */
    public ResourceVector minus(ResourceVector other) {
        return new ResourceVector(
                milliCores - other.milliCores, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /**
     * Multiplies this amount.
     *
     * @param factor a number of times
     * @return the product
     */
    public ResourceVector times(int factor) {
        return new ResourceVector(milliCores * factor, memoryMb * factor, accelerators * factor);
    }

    /**
     * Whether this amount fits into another.
     *
     * @param other the other amount
     * @return true if no part is larger
     */
    public boolean fitsInto(ResourceVector other) {
        return milliCores <= other.milliCores && memoryMb <= other.memoryMb && accelerators <= other.accelerators;
    }

    /**
     * How often this amount fits into another.
     *
     * @param other the other amount
     * @param most the largest answer
     * @return the number of times, 0 or more
     */
    public int timesInto(ResourceVector other, int most) {
        long times = most;
        times = milliCores > 0 ? Math.min(times, other.milliCores / milliCores) : times;
        times = memoryMb > 0 ? Math.min(times, other.memoryMb / memoryMb) : times;
        times = accelerators > 0 ? Math.min(times, other.accelerators / accelerators) : times;
        return (int) Math.max(0, other.fitsNothing() ? 0 : times);
    }

    private boolean fitsNothing() {
        return milliCores < 0 || memoryMb < 0 || accelerators < 0;
    }
}
