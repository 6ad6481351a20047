package org.lovagegrade.core.internal;

import org.lovagegrade.core.Resources;

/** Maps amounts to a few levels, two to each doubling, so that indexes stay small whatever the sizes are. */
final class Levels {
    private static final int LEVELS_PER_DOUBLING = 2;
    private static final int BITS = 7;
    private static final int MASK = (1 << BITS) - 1;
    private static final int MEMORY_SHIFT = BITS;
    private static final int CORES_SHIFT = 2 * BITS;

    private Levels() {}

    /** Packs the levels of all amounts into one key; cores are the most significant. */
    static int keyOf(Resources amounts) {
        return level(amounts.accelerators())
                | level(amounts.memoryMb()) << MEMORY_SHIFT
                | level(amounts.milliCores()) << CORES_SHIFT;
    }

    /** Whether amounts under one key may cover a need under another. */
    static boolean mayCover(int freeKey, int needKey) {
        return (freeKey & MASK) >= (needKey & MASK)
                && (freeKey >> MEMORY_SHIFT & MASK) >= (needKey >> MEMORY_SHIFT & MASK)
                && freeKey >> CORES_SHIFT >= needKey >> CORES_SHIFT;
    }

    private static int level(long amount) {
        if (amount <= 0) {
            return 0;
        }
        int doublings = Long.SIZE - 1 - Long.numberOfLeadingZeros(amount);
        long half = doublings == 0 ? 0 : 1L << (doublings - 1);
        int upper = doublings > 0 && amount >= (1L << doublings) + half ? 1 : 0;
        return 1 + doublings * LEVELS_PER_DOUBLING + upper;
    }
}
