package org.lovagegrade.core.internal;

import org.lovagegrade.core.Resources;

/** Maps amounts to logarithmic buckets, two per power of two, so that indexes stay small for any amounts. */
final class ResourceBuckets {
    private static final int BUCKETS_PER_DOUBLING = 2;
    private static final int BITS_PER_KIND = 7;
    private static final int MASK = (1 << BITS_PER_KIND) - 1;
    private static final int MEMORY_SHIFT = BITS_PER_KIND;
    private static final int CORES_SHIFT = 2 * BITS_PER_KIND;

    private ResourceBuckets() {}

    /** Packs the buckets of all amounts into one key; cores are the most significant bits. */
    static int keyOf(Resources amounts) {
        return bucket(amounts.accelerators())
                | bucket(amounts.memoryMb()) << MEMORY_SHIFT
                | bucket(amounts.milliCores()) << CORES_SHIFT;
    }

    /** Whether amounts with the first key may cover a need with the second; false only if they can't. */
    static boolean mayCover(int freeKey, int needKey) {
        return (freeKey & MASK) >= (needKey & MASK)
                && (freeKey >> MEMORY_SHIFT & MASK) >= (needKey >> MEMORY_SHIFT & MASK)
                && freeKey >> CORES_SHIFT >= needKey >> CORES_SHIFT;
    }

    private static int bucket(long amount) {
        if (amount <= 0) {
            return 0;
        }
        int doublings = Long.SIZE - 1 - Long.numberOfLeadingZeros(amount);
        long halfStep = doublings == 0 ? 0 : 1L << (doublings - 1);
        int upper = doublings > 0 && amount >= (1L << doublings) + halfStep ? 1 : 0;
        return 1 + doublings * BUCKETS_PER_DOUBLING + upper;
    }
}
