package org.lovagegrade.state.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/** Majority computations over a set of voters. */
public final class Quorum {
    /** The majority value of no voters; far enough from the limits of long that sums with it don't overflow. */
    public static final long NONE = Long.MIN_VALUE / 2;

    private Quorum() {}

    /**
     * Returns the greatest value that a majority of the voters has reached or exceeded.
     *
     * @param voters the ids of the voters
     * @param valueOf the value of one voter
     * @return the value, or {@link #NONE} if there are no voters
     */
    public static long majorityValue(List<String> voters, ToLongFunction<String> valueOf) {
        if (voters.isEmpty()) {
            return NONE;
        }
        List<Long> values = new ArrayList<>();
        voters.forEach(voter -> values.add(valueOf.applyAsLong(voter)));
        values.sort(null);
        return values.get((values.size() - 1) / 2);
    }

    /**
     * Whether a majority has granted its vote.
     *
     * @param voters the ids of the voters
     * @param granted the ids that granted; ids that aren't voters don't count
     * @return true if more than half of the voters have granted
     */
    public static boolean granted(List<String> voters, Set<String> granted) {
        long count = voters.stream().filter(granted::contains).count();
        return count * 2 > voters.size();
    }
}
