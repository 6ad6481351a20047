package org.lovagegrade.graph.planning;

import java.util.Comparator;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * In which order a plan gives steps their workers.
 *
 * <p>Example: {@code PlanOrder.named("urgency").comparing(useOfShare)}
 */
@FunctionalInterface
public interface PlanOrder {
    /** The name of the product's own order. */
    String DEFAULT_NAME = "urgency";

    /**
     * Compares steps.
     *
     * @param useOfShare what a workspace has running per unit of its weight, by its name
     * @return puts first what is placed first
     */
    Comparator<StepDemand> comparing(ToDoubleFunction<String> useOfShare);

    /**
     * By priority, then what can still meet its objective, then what was due first.
     *
     * @return the product's own order
     */
    static PlanOrder urgency() {
        return _useOfShare -> Comparator.comparingInt(StepDemand::priority)
                .thenComparing(StepDemand::urgency)
                .thenComparingLong(StepDemand::sinceMs);
    }

    /**
     * What was due first, whatever its priority.
     *
     * @return a plainer order to compare with
     */
    static PlanOrder arrival() {
        return _useOfShare -> Comparator.comparingLong(StepDemand::sinceMs);
    }

    /**
     * By priority, then the workspace that uses the least of its share, then what was due first.
     *
     * @return a plainer order to compare with
     */
    static PlanOrder fairShare() {
        return useOfShare -> Comparator.comparingInt(StepDemand::priority)
                .thenComparingDouble(demand -> useOfShare.applyAsDouble(demand.workspace()))
                .thenComparingLong(StepDemand::sinceMs);
    }

    /**
     * Finds an order by its name.
     *
     * @param name {@code urgency}, {@code arrival} or {@code fair-share}
     * @return the order
     * @throws IllegalArgumentException if there is none of that name
     */
    static PlanOrder named(String name) {
        Map<String, PlanOrder> known = Map.of(DEFAULT_NAME, urgency(), "arrival", arrival(), "fair-share", fairShare());
        PlanOrder order = known.get(name);
        if (order == null) {
            throw new IllegalArgumentException(
                    "expected: one of " + known.keySet().stream().sorted().toList() + "\n  actual: " + name);
        }
        return order;
    }
}
