package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.ResourcesProto;

/**
 * An amount of resources.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMb memory in MB
 * @param accelerators a number of accelerators
 */
public record Room(long milliCores, long memoryMb, long accelerators) {
    /** No room at all. */
    public static final Room NONE = new Room(0, 0, 0);

    /**
     * Reads an amount of a message.
     *
     * @param proto the message
     * @return the amount
     */
    public static Room of(ResourcesProto proto) {
        return new Room(proto.getMilliCores(), proto.getMemoryMb(), proto.getAccelerators());
    }

    /**
     * Adds an amount.
     *
     * @param other the other amount
     * @return the sum
     */
    public Room plus(Room other) {
        return new Room(milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Takes an amount away.
     *
     * @param other the other amount
     * @return the difference, which may be negative
     */
    public Room minus(Room other) {
        return new Room(milliCores - other.milliCores, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /**
     * Multiplies this amount.
     *
     * @param factor a number of times
     * @return the product
     */
    public Room times(int factor) {
        return new Room(milliCores * factor, memoryMb * factor, accelerators * factor);
    }

    /**
     * Whether this amount fits into another.
     *
     * @param other the other amount
     * @return true if no part is larger
     */
    public boolean fitsInto(Room other) {
        return milliCores <= other.milliCores && memoryMb <= other.memoryMb && accelerators <= other.accelerators;
    }

    /**
     * How often this amount fits into another.
     *
     * @param other the other amount
     * @param most the largest answer
     * @return the number of times, 0 or more
     */
    public int timesInto(Room other, int most) {
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
