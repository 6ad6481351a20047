package org.lovagegrade.overload;

/**
 * What the caller of an item loses if the item waits.
 *
 * @param item the item
 * @param outcome the outcome if the item starts now
 * @param slackMs how long the item can wait without a worse outcome, in milliseconds
 * @param slackShare the part of the slack at the objective's start that is left, from 0 to 1; 1 for a late item
 * @param promotion how far the item goes ahead in its group at this time, since it is about to miss its objective; 0 if not
 * @param value the value of a result now, where 1 is that of an item of mean size that is in time
 * @param lossPerCoreMs the value at risk per core-millisecond of waiting work, which grows as the slack shrinks
 */
public record CostOfDelay(
        WorkItem item,
        Outcome outcome,
        long slackMs,
        double slackShare,
        double promotion,
        double value,
        double lossPerCoreMs) {
    private static final double MIN_SIZE_VALUE = 0.3;
    private static final double VALUE_PER_RELATIVE_SIZE = 0.7;
    private static final double MAX_SIZE_VALUE = 4;
    /** The value at risk falls by a factor of e for each slack of this many critical paths. */
    private static final double LOOK_AHEAD_PATHS = 2;
    /** An untouched item is in time only if this part of its critical path is left, since estimates are uncertain. */
    private static final double ESTIMATE_MARGIN = 0.2;

    /**
     * Determines what a delay costs.
     *
     * @param item the item
     * @param nowMs the present time, in milliseconds since 1970
     * @return the cost
     */
    public static CostOfDelay of(WorkItem item, long nowMs) {
        Objective objective = item.objective();
        long pathMs = item.work().pathMs();
        boolean isUntouched = item.work().doneCoreMs() == 0;
        long endMs = nowMs + pathMs + (isUntouched ? Math.round(pathMs * ESTIMATE_MARGIN) : 0);
        Outcome outcome = Outcome.of(objective, endMs);
        long slackMs = slackMs(objective, outcome, endMs);
        double value = sizeValue(item.work()) * outcome.valueShare();
        double lossPerCoreMs = value
                / Math.max(1, item.work().coreMs())
                * Math.exp(-slackMs / (LOOK_AHEAD_PATHS * Math.max(1, pathMs)));
        double slackShare = outcome == Outcome.IN_TIME
                ? Math.min(1, (double) slackMs / Math.max(1, objective.objectiveMs() - pathMs))
                : 1;
        return new CostOfDelay(
                item,
                outcome,
                slackMs,
                slackShare,
                CostOrder.promotion(outcome, slackShare, lossPerCoreMs, nowMs),
                value,
                lossPerCoreMs);
    }

    private static long slackMs(Objective objective, Outcome outcome, long endMs) {
        return switch (outcome) {
            case IN_TIME -> objective.inTimeUntilMs() - endMs;
            case LATE -> objective.usefulUntilMs() - endMs;
            case USELESS -> 0;
        };
    }

    /** The full value of an item grows with its size, up to a bound. */
    static double sizeValue(RemainingWork work) {
        return Math.min(MAX_SIZE_VALUE, MIN_SIZE_VALUE + VALUE_PER_RELATIVE_SIZE * work.relativeSize());
    }
}
