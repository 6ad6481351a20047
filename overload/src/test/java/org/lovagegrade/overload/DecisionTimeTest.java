package org.lovagegrade.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a decision whose time grows with the work that waits, so that refusals overload the leader. */
final class DecisionTimeTest {
    private static final int WAITING = 10_000;
    private static final long MILLI_CORES = 7_200L * 32_000;
    private static final int DECISIONS = 20_000;
    private static final long MAX_MEDIAN_NS = 20_000;

    private final Random random = new Random(1);

    private WorkItem item(int number) {
        int priority = random.nextInt(3);
        long pathMs = 500L + random.nextInt(10_000);
        WorkItem item = WorkItem.of(
                "j" + number,
                "w" + random.nextInt(54),
                priority,
                Objective.within(pathMs * (2 + priority)).from(random.nextInt(60_000)),
                new RemainingWork(pathMs, 1_000_000L + random.nextInt(1_000_000), 0, 1, 20, priority == 1));
        return random.nextInt(4) == 0 ? item.beyondShare() : item;
    }

    @Test
    void shouldDecideWithin20MicrosecondsAtTenThousandWaitingItems() {
        Backlog backlog = new Backlog();
        ServiceRate rate = new ServiceRate();
        rate.setCapacity(MILLI_CORES);
        for (int number = 0; number < WAITING; number++) {
            backlog.put(item(number));
            rate.arrived(random.nextInt(3), 1_000_000, number * 6L);
        }
        long[] timesNs = new long[DECISIONS];
        for (int decision = 0; decision < DECISIONS; decision++) {
            WorkItem item = item(WAITING + decision);
            long startNs = System.nanoTime();
            AdmissionControl.decide(item, backlog, rate, 60_000);
            timesNs[decision] = System.nanoTime() - startNs;
        }
        Arrays.sort(timesNs);

        assertThat(timesNs[DECISIONS / 2]).isAtMost(MAX_MEDIAN_NS);
    }
}
