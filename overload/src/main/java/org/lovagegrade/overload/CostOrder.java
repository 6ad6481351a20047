package org.lovagegrade.overload;

import java.util.Comparator;

/**
 * The order in which waiting items get capacity: in time before late before useless, then within the share before beyond
 * it, then by priority, then items that have work done, then by the value at risk per work.
 *
 * <p>Items that are about to miss their objective can't starve behind a stream of higher priority: in a fixed part of the
 * time they go first in their group, the one with the least of its slack left ahead. An item therefore waits at most for
 * the work of the items that have less of their slack left than it has, at that part of the capacity.
 *
 * <p>Example: {@code demands.sort(Comparator.comparing(Demand::cost, CostOrder.ascending()))}
 */
public final class CostOrder {
    /** An item is about to miss its objective if less than this part of its slack is left. */
    private static final double PRESSING_SLACK_SHARE = 0.25;
    /** Items that are about to miss their objective go first during the first fifth of each cycle. */
    private static final long CYCLE_MS = 100;

    private static final long PROMOTION_MS = 20;

    private static final Comparator<CostOfDelay> ASCENDING = Comparator.comparing(CostOfDelay::outcome)
            .thenComparing(cost -> !cost.item().withinShare())
            .thenComparingDouble(cost -> cost.isPromoted() ? cost.slackShare() : 1)
            .thenComparingInt(cost -> cost.item().priority())
            .thenComparing(cost -> cost.item().work().doneCoreMs() == 0)
            .thenComparingDouble(cost -> -cost.lossPerCoreMs())
            .thenComparingLong(cost -> cost.item().objective().dueAtMs())
            .thenComparing(cost -> cost.item().id());

    private CostOrder() {}

    /**
     * Returns the order; it is consistent among costs of the same time.
     *
     * @return a comparator that sorts the first item to get capacity to the front
     */
    public static Comparator<CostOfDelay> ascending() {
        return ASCENDING;
    }

    /** Whether an item goes first in its group at this time. */
    static boolean isPromoted(Outcome outcome, double slackShare, long nowMs) {
        return outcome == Outcome.IN_TIME
                && slackShare < PRESSING_SLACK_SHARE
                && Math.floorMod(nowMs, CYCLE_MS) < PROMOTION_MS;
    }
}
