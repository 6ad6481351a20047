package org.lovagegrade.core;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

/**
 * Guards against late reports of attempts whose lease has expired: without fencing by worker and attempt number, such a
 * report ends the current attempt. Simulates seeded runs with and without fencing.
 */
final class FencingTest {
    private static final int SEEDS = 200;
    private static final int JOBS = 30;
    private static final long RUN_MS = 4_000;

    /** Simulates jobs whose leases expire and whose reports arrive late; returns the number of wrong outcomes. */
    private static int countWrongOutcomes(long seed, BiPredicate<Attempt, Attempt> fencingRule) {
        Random random = new Random(seed);
        Scheduler scheduler = Scheduler.withFencingRule(Policy.current(), fencingRule);
        for (int i = 0; i < 6; i++) {
            scheduler.apply(0, new Event.WorkerAnnounced(new Worker("w" + i, "d", "r", Resources.of(4_000, 4_096, 0))));
        }
        scheduler.apply(0, new Event.WorkspaceSet(new Workspace("t", 1, Limits.UNLIMITED)));
        scheduler.apply(
                0,
                new Event.ClassSet(new WorkClass(
                        "c", ClassKind.BATCH, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty())));
        for (int i = 0; i < JOBS; i++) {
            scheduler.apply(
                    0, new Event.JobSubmitted(new Job("j" + i, "t", "c", 1, Resources.of(1_000, 512, 0), 0, 0)));
        }
        Map<Attempt, Long> doneAtMs = new HashMap<>();
        List<Attempt> lateReports = new ArrayList<>();
        int wrong = 0;
        for (long nowMs = 0; nowMs < 60_000; nowMs += 100) {
            wrong += simulateStep(scheduler, random, nowMs, doneAtMs, lateReports);
        }
        return wrong;
    }

    private static int simulateStep(
            Scheduler scheduler, Random random, long nowMs, Map<Attempt, Long> doneAtMs, List<Attempt> lateReports) {
        for (Attempt attempt : List.copyOf(doneAtMs.keySet())) {
            boolean isLost = random.nextInt(400) == 0;
            if (isLost) {
                doneAtMs.remove(attempt);
                lateReports.add(attempt);
                scheduler.apply(nowMs, new Event.LeaseExpired(attempt));
            } else if (doneAtMs.get(attempt) <= nowMs) {
                scheduler.apply(nowMs, new Event.AttemptEnded(attempt));
            }
        }
        if (!lateReports.isEmpty() && random.nextInt(10) == 0) {
            scheduler.apply(nowMs, new Event.AttemptEnded(lateReports.remove(random.nextInt(lateReports.size()))));
        }
        int wrong = 0;
        for (Decision decision : scheduler.decide(nowMs)) {
            if (decision.action() == Action.PLACE) {
                doneAtMs.put(decision.toAttempt(), nowMs + RUN_MS);
            } else if (decision.action() == Action.END) {
                Long doneMs = doneAtMs.remove(decision.toAttempt());
                wrong += doneMs == null || doneMs > nowMs ? 1 : 0;
            } else if (decision.action() == Action.LEASE_EXPIRED) {
                doneAtMs.remove(decision.toAttempt());
            }
        }
        return wrong;
    }

    private static int sumWrongOutcomes(BiPredicate<Attempt, Attempt> fencingRule) {
        int wrong = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            wrong += countWrongOutcomes(seed, fencingRule);
        }
        return wrong;
    }

    @Test
    void shouldPreventWrongOutcomesFromLateReports() {
        // when
        int withFencing = sumWrongOutcomes(Scheduler.HOLDER_ONLY);
        int withoutFencing = sumWrongOutcomes((_reported, _current) -> true);

        // then
        System.out.println("MEASURED wrong outcomes of " + SEEDS * JOBS + " tasks: with fencing " + withFencing
                + ", without " + withoutFencing);
        assertThat(withFencing).isEqualTo(0);
        assertThat(withoutFencing).isGreaterThan(0);
    }
}
