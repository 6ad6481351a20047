package org.lovagegrade.overload;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the value lost under the order cost with that under simpler orders, on the same generated loads. */
final class OrderComparisonTest {
    private static final double CORES = 4_000;
    private static final SimulatedLoad.Queue URGENT = new SimulatedLoad.Queue(0, 3, 4, 1_000, 1.5, 250, false);
    private static final SimulatedLoad.Queue GANGS = new SimulatedLoad.Queue(1, 10, 9, 5_000, 2.2, 1_000, true);
    private static final SimulatedLoad.Queue WIDE = new SimulatedLoad.Queue(2, 15, 3.5, 3_400, 4, 3_000, false);

    private record Demand(SimulatedLoad.Queue queue, double share) {}

    /** The parts of the demand by queue, about as on the fleet that the queues are scaled from. */
    private static final List<Demand> DEMANDS =
            List.of(new Demand(URGENT, 0.15), new Demand(GANGS, 0.5), new Demand(WIDE, 0.35));

    private static final Map<String, SimulatedLoad.Order> BASELINES = Map.of(
            "arrival", SimulatedLoad.ARRIVAL,
            "fair share", SimulatedLoad.FAIR_SHARE,
            "urgency", SimulatedLoad.URGENCY);

    /** Adds jobs of all queues that together ask for a multiple of the capacity. */
    private static void addMix(SimulatedLoad load, double demand, long fromMs, long toMs, Random random) {
        for (Demand part : DEMANDS) {
            double jobsPerS =
                    demand * part.share() * CORES * 1_000 / part.queue().meanCoreMs();
            for (int workspace = 0; workspace < 4; workspace++) {
                load.add(part.queue(), jobsPerS / 4, fromMs, toMs, "w" + workspace, true, random);
            }
        }
    }

    private static void assertLossAtMost(double factor, SimulatedLoad load, String name) {
        Map<Integer, Double> cost = load.lostValue(SimulatedLoad.COST);
        BASELINES.forEach((baseline, order) -> {
            Map<Integer, Double> lost = load.lostValue(order);
            assertWithMessage("%s, value lost by priority: cost %s, %s %s", name, cost, baseline, lost)
                    .that(SimulatedLoad.total(cost))
                    .isAtMost(factor * SimulatedLoad.total(lost));
        });
    }

    /** Guards against an order that is worse than a simple one on some kind of load. */
    @Nested
    final class AnyLoad {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 101, 102, 104, 105, 107, 108})
        void shouldLoseNoMoreThanAnyBaselineWithBursts(long seed) {
            assertNoMoreLossWithBursts(seed);
        }

        /** Light loads on which the order urgency loses nothing. */
        @ParameterizedTest
        @ValueSource(longs = {103, 106})
        void shouldLoseNothingWithBurstsThatUrgencyServesWhole(long seed) {
            assertNoMoreLossWithBursts(seed);
        }

        private void assertNoMoreLossWithBursts(long seed) {
            Random random = new Random(seed);
            SimulatedLoad load = new SimulatedLoad(CORES);
            addMix(load, 0.88, 0, 40_000, random);
            addMix(load, 0.5 + random.nextDouble(), 10_000, 13_000 + random.nextInt(4_000), random);

            assertLossAtMost(1, load, "bursts, seed " + seed);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 101, 102, 103})
        void shouldLoseNoMoreThanAnyBaselineWithOneHotWorkspace(long seed) {
            Random random = new Random(seed);
            SimulatedLoad load = new SimulatedLoad(CORES);
            addMix(load, 0.88, 0, 30_000, random);
            load.add(WIDE, 6 * 0.35 * CORES * 1_000 / WIDE.meanCoreMs() / 4, 5_000, 12_000, "hot", false, random);

            assertLossAtMost(1, load, "hot workspace, seed " + seed);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 101, 102, 103})
        void shouldLoseNoMoreThanAnyBaselineWithAThirdOfTheWorkersGone(long seed) {
            SimulatedLoad load = new SimulatedLoad(CORES * 2 / 3);
            addMix(load, 0.88, 0, 30_000, new Random(seed));

            assertLossAtMost(1, load, "a third gone, seed " + seed);
        }
    }

    /** Guards against an order that spends the capacity on work that is late already. */
    @Nested
    final class TwiceTheCapacity {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 101, 102, 103})
        void shouldLoseAQuarterLessThanAnyBaseline(long seed) {
            SimulatedLoad load = new SimulatedLoad(CORES);
            addMix(load, 2, 0, 20_000, new Random(seed));

            assertLossAtMost(0.75, load, "twice the capacity, seed " + seed);
        }
    }
}
