package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.ResourcesProto;

/**
 * An amount of each resource; also used for differences, which may be negative.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMb memory in MB
 * @param accelerators a number of accelerators
 */
public record ResourceVector(long milliCores, long memoryMb, long accelerators) {
    /** No resources. */
    public static final ResourceVector NONE = new ResourceVector(0, 0, 0);

    /**
     * Reads the amounts of a message.
     *
     * @param proto the message
     * @return the amounts
     */
    public static ResourceVector of(ResourcesProto proto) {
        return new ResourceVector(proto.getMilliCores(), proto.getMemoryMb(), proto.getAccelerators());
    }

    /**
     * Adds other amounts.
     *
     * @param other the amounts to add
     * @return the sum
     */
    public ResourceVector plus(ResourceVector other) {
        return new ResourceVector(
                milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Subtracts other amounts.
     *
     * @param other the amounts to subtract
     * @return the difference, which may be negative
     */
    public ResourceVector minus(ResourceVector other) {
        return new ResourceVector(
                milliCores - other.milliCores, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /**
     * Multiplies the amounts.
     *
     * @param factor the factor
     * @return the product
     */
    public ResourceVector times(int factor) {
        return new ResourceVector(milliCores * factor, memoryMb * factor, accelerators * factor);
    }

    /**
     * Whether these amounts fit into others.
     *
     * @param available the amounts to fit into
     * @return true if no resource needs more than is available
     */
    public boolean fitsInto(ResourceVector available) {
        return milliCores <= available.milliCores
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }

    /**
     * How many times these amounts fit into others.
     *
     * @param available the amounts to fit into
     * @param max the upper bound of the result
     * @return the number of times, from 0 to {@code max}
     */
    public int timesInto(ResourceVector available, int max) {
        long times = max;
        times = milliCores > 0 ? Math.min(times, available.milliCores / milliCores) : times;
        times = memoryMb > 0 ? Math.min(times, available.memoryMb / memoryMb) : times;
        times = accelerators > 0 ? Math.min(times, available.accelerators / accelerators) : times;
        return (int) Math.max(0, available.hasNegative() ? 0 : times);
    }

    private boolean hasNegative() {
        return milliCores < 0 || memoryMb < 0 || accelerators < 0;
    }
}
