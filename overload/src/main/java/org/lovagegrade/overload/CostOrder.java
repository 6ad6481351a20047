package org.lovagegrade.overload;

import java.util.Comparator;

/**
 * The order in which waiting items get capacity: in time before late before useless, then within the share before beyond
 * it, then by priority, then items that have work done, then by the value at risk per work.
 *
 * <p>Items that are about to miss their objective can't starve behind a stream of higher priority. In a fifth of the time
 * they go first in their group by the value at risk per work, whatever their priority. In a further tenth the one with the
 * least of its slack left goes first, so that an item waits at most for the work of those that have less of their slack
 * left than it has, at a tenth of the capacity.
 *
 * <p>Example: {@code demands.sort(Comparator.comparing(Demand::cost, CostOrder.ascending()))}
 */
public final class CostOrder {
    /** An item is about to miss its objective if less than this part of its slack is left. */
    private static final double PRESSING_SLACK_SHARE = 0.25;

    private static final long CYCLE_MS = 100;
    /** Promotion by value at risk lasts from the start of a cycle to this time. */
    private static final long BY_VALUE_END_MS = 20;
    /** Promotion by slack lasts between these times of a cycle. */
    private static final long BY_SLACK_START_MS = 50;

    private static final long BY_SLACK_END_MS = 60;

    private static final Comparator<CostOfDelay> ASCENDING = Comparator.comparing(CostOfDelay::outcome)
            .thenComparing(cost -> !cost.item().withinShare())
            .thenComparingDouble(cost -> -cost.promotion())
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

    /** How far an item goes ahead in its group at this time, whatever its priority; 0 if it does not. */
    static double promotion(Outcome outcome, double slackShare, double lossPerCoreMs, long nowMs) {
        if (outcome != Outcome.IN_TIME || slackShare >= PRESSING_SLACK_SHARE) {
            return 0;
        }
        long phaseMs = Math.floorMod(nowMs, CYCLE_MS);
        if (phaseMs < BY_VALUE_END_MS) {
            return lossPerCoreMs;
        }
        return phaseMs >= BY_SLACK_START_MS && phaseMs < BY_SLACK_END_MS ? 1 - slackShare : 0;
    }
}
