package org.lovagegrade.graph.planning;

import java.util.Comparator;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.lovagegrade.overload.CostOrder;

/**
 * The order in which a plan assigns workers to steps.
 *
 * <p>Example: {@code PlanOrder.named("urgency").comparing(usagePerWeight)}
 */
@FunctionalInterface
public interface PlanOrder {
    /** The name of the default order. */
    String DEFAULT_NAME = "urgency";

    /**
     * Creates a comparator of steps.
     *
     * @param usagePerWeight the usage of a workspace per unit of its weight, by the workspace's name
     * @return a comparator that sorts steps to the order in which they are placed
     */
    Comparator<StepDemand> comparing(ToDoubleFunction<String> usagePerWeight);

    /**
     * Orders by priority, then by urgency, so that work that can still meet its objective goes first, then by due time.
     *
     * @return the default order
     */
    static PlanOrder urgency() {
        return _usagePerWeight -> Comparator.comparingInt(StepDemand::priority)
                .thenComparing(StepDemand::urgency)
                .thenComparingLong(StepDemand::dueAtMs);
    }

    /**
     * Orders by what a delay costs, so that work that can still meet its objective goes first, whatever its priority.
     *
     * @return the order under contention
     */
    static PlanOrder cost() {
        return _usagePerWeight -> Comparator.comparing(StepDemand::cost, CostOrder.ascending());
    }

    /**
     * Orders by due time, regardless of priority.
     *
     * @return a simpler order, as a baseline for comparisons
     */
    static PlanOrder arrival() {
        return _usagePerWeight -> Comparator.comparingLong(StepDemand::dueAtMs);
    }

    /**
     * Orders by priority, then by the workspace's usage per unit of its weight, lowest first, then by due time.
     *
     * @return a simpler order, as a baseline for comparisons
     */
    static PlanOrder fairShare() {
        return usagePerWeight -> Comparator.comparingInt(StepDemand::priority)
                .thenComparingDouble(demand -> usagePerWeight.applyAsDouble(demand.workspace()))
                .thenComparingLong(StepDemand::dueAtMs);
    }

    /**
     * Finds an order by its name.
     *
     * @param name {@code urgency}, {@code cost}, {@code arrival} or {@code fair-share}
     * @return the order
     * @throws IllegalArgumentException if no order has this name
     */
    static PlanOrder named(String name) {
        Map<String, PlanOrder> known =
                Map.of(DEFAULT_NAME, urgency(), "cost", cost(), "arrival", arrival(), "fair-share", fairShare());
        PlanOrder order = known.get(name);
        if (order == null) {
            throw new IllegalArgumentException(
                    "expected: one of " + known.keySet().stream().sorted().toList() + "\n  actual: " + name);
        }
        return order;
    }
}
