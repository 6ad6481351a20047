package org.lovagegrade.state.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/** What a majority of voters has reached. */
public final class Quorum {
    /** What a quorum of no voters has reached; small enough to be safe in sums. */
    public static final long NOTHING = Long.MIN_VALUE / 2;

    private Quorum() {}

    /**
     * The greatest value that a majority has reached.
     *
     * @param voters the ids of the voters
     * @param valueOf the value that one voter has reached
     * @return the value, or {@link #NOTHING} without voters
     */
    public static long reached(List<String> voters, ToLongFunction<String> valueOf) {
        if (voters.isEmpty()) {
            return NOTHING;
        }
        List<Long> values = new ArrayList<>();
        voters.forEach(voter -> values.add(valueOf.applyAsLong(voter)));
        values.sort(null);
        return values.get((values.size() - 1) / 2);
    }

    /**
     * Whether a majority has granted.
     *
     * @param voters the ids of the voters
     * @param granted the ids that granted; those that do not vote do not count
     * @return true if so
     */
    public static boolean granted(List<String> voters, Set<String> granted) {
        long count = voters.stream().filter(granted::contains).count();
        return count * 2 > voters.size();
    }
}
