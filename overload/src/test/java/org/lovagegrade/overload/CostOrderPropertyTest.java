package org.lovagegrade.overload;

import static com.google.common.truth.Truth.assertThat;
import static org.lovagegrade.overload.CostOrderTest.compare;
import static org.lovagegrade.overload.CostOrderTest.item;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

final class CostOrderPropertyTest {
    private static final long BY_VALUE_MS = 1_000_000;

    @Provide
    Arbitrary<CostOfDelay> costs() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.longs().between(-30_000, 9_000),
                        Arbitraries.longs().between(1, 5_000),
                        Arbitraries.longs().between(1, 100_000),
                        Arbitraries.of(true, false))
                .as((priority, slackMs, pathMs, coreMs, withinShare) -> {
                    WorkItem item = item(priority, slackMs, pathMs, coreMs, BY_VALUE_MS);
                    return CostOfDelay.of(withinShare ? item : item.beyondShare(), BY_VALUE_MS);
                });
    }

    /** Guards against a sort that throws or depends on the input order. */
    @Property
    void shouldBeAConsistentOrder(@ForAll List<@From("costs") CostOfDelay> costs) {
        List<CostOfDelay> sorted = costs.stream().sorted(CostOrder.ascending()).toList();
        for (int first = 0; first < sorted.size(); first++) {
            for (int second = first + 1; second < sorted.size(); second++) {
                assertThat(CostOrder.ascending().compare(sorted.get(first), sorted.get(second)))
                        .isAtMost(0);
            }
        }
    }

    /** Guards against an item that goes back in the order because it became more urgent or smaller. */
    @Property
    void shouldBeMonotoneInPriorityDeadlineAndWork(
            @ForAll @IntRange(max = 2) int priority,
            @ForAll @LongRange(min = 300, max = 9_000) long slackMs,
            @ForAll @LongRange(min = 1, max = 1_000) long pathMs,
            @ForAll @LongRange(min = 1, max = 100_000) long coreMs,
            @ForAll @LongRange(max = 99) long phaseMs) {
        long nowMs = BY_VALUE_MS + phaseMs;
        WorkItem item = item(priority, slackMs, pathMs, coreMs, nowMs);

        assertThat(compare(item, item(priority + 1, slackMs, pathMs, coreMs, nowMs), nowMs))
                .isAtMost(0);
        assertThat(compare(item, item(priority, slackMs + 500, pathMs, coreMs, nowMs), nowMs))
                .isAtMost(0);
        assertThat(compare(item, item(priority, slackMs, pathMs, coreMs * 2, nowMs), nowMs))
                .isAtMost(0);
    }

    /** Guards against a workspace that gains by splitting its work into many items. */
    @Property
    void shouldCountNoMoreThanTheWeightEachSecondWithinTheShare(
            @ForAll @IntRange(min = 1, max = 20) int weight, @ForAll @IntRange(min = 1, max = 400) int items) {
        WorkspaceRates rates = new WorkspaceRates();
        int within = 0;
        for (int item = 0; item < items; item++) {
            within += rates.take("w", weight, 1_000L + item * 10L) ? 1 : 0;
        }

        assertThat((double) within).isAtMost(weight * (1 + items * 0.01));
    }
}
