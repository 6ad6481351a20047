package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Evacuations in the seeded simulation, together with elections, pauses, partitions, power losses and late orders. */
final class EvacuationFuzzTest {
    private static final int WORKERS = 6;
    private static final int DOMAINS = 3;
    private static final int SEEDS = 100;
    private static final long STEP_MS = 500;
    private static final int STEPS = 60;
    /** Workers report their failure domains within this time. */
    private static final long INTRODUCTION_MS = 4_000;

    private static final long SETTLE_MS = 60_000;

    private static SimulatedCell cell(long seed, double faultRate, DriverSafeguards safeguards) {
        SimulatedCell cell = new SimulatedCell(seed, WORKERS, faultRate, safeguards);
        cell.spreadOverDomains(DOMAINS);
        cell.time.advance(INTRODUCTION_MS);
        return cell;
    }

    private static SimulatedCell simulate(long seed, double faultRate, DriverSafeguards safeguards) {
        SimulatedCell cell = cell(seed, faultRate, safeguards);
        if (seed % 2 == 1) {
            cell.acceptExpiredStarts();
        }
        Random random = new Random(seed);
        List<String> jobs = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            jobs.add(cell.submit(
                    SimulatedCell.tasks(1 + random.nextInt(6), 500 + random.nextInt(1_000), random.nextInt(3) == 0)));
            disrupt(cell, random, jobs);
            order(cell, random);
            cell.time.advance(STEP_MS);
        }
        return cell;
    }

    private static void disrupt(SimulatedCell cell, Random random, List<String> jobs) {
        switch (random.nextInt(12)) {
            case 0 -> cell.elect();
            case 1 -> cell.crashOne();
            case 2, 3 -> cell.partitionOne(1_000 + random.nextInt(9_000));
            case 5 -> cell.cancel(jobs.get(random.nextInt(jobs.size())));
            case 4 -> cell.pauseLeader(500 + random.nextInt(9_000));
            default -> {}
        }
    }

    private static void order(SimulatedCell cell, Random random) {
        SimulatedOperator operator = cell.operator();
        String domain = SimulatedCell.domain(random.nextInt(DOMAINS));
        switch (random.nextInt(16)) {
            case 0 -> operator.evacuate(domain);
            case 1 -> operator.evacuate(domain, cell::losePower);
            case 2 -> operator.evacuate(domain, () -> cell.pauseLeader(7_000));
            case 3 -> allDomains().forEach(operator::evacuate);
            case 4, 5, 6 -> operator.returnToService(domain);
            case 7 -> {
                operator.evacuate(domain);
                cell.time.after(random.nextInt(500), () -> operator.returnToService(domain));
            }
            case 8 -> {
                operator.returnToService(domain);
                cell.time.after(random.nextInt(500), () -> operator.evacuate(domain));
            }
            default -> {}
        }
    }

    private static List<String> allDomains() {
        return List.of(SimulatedCell.domain(0), SimulatedCell.domain(1), SimulatedCell.domain(2));
    }

    @Nested
    final class Faults {
        @Test
        void shouldStartNothingInEvacuatedDomains() {
            for (long seed = 0; seed < SEEDS; seed++) {
                SimulatedCell cell = simulate(seed, 0.2, DriverSafeguards.allEnabled());

                assertWithMessage("seed " + seed).that(cell.violations).isEmpty();
            }
        }

        /** Guards against capacity that stays closed by copies of orders, or runs that nobody withdraws. */
        @Test
        void shouldCompleteAllJobsAfterTheReturnToService() {
            for (long seed = 0; seed < 20; seed++) {
                SimulatedCell cell = simulate(seed, 0.02, DriverSafeguards.allEnabled());
                allDomains().forEach(cell.operator()::returnToService);
                cell.time.advance(SETTLE_MS);

                assertWithMessage("seed " + seed)
                        .that(cell.machine().activeJobs())
                        .isEmpty();
            }
        }
    }

    @Nested
    final class Evacuated {
        /** Guards against plans that name workers of an evacuated domain, whose starts the log then rejects. */
        @Test
        void shouldLeaveTheWorkToTheOtherDomains() {
            SimulatedCell cell = cell(1, 0, DriverSafeguards.allEnabled());
            cell.operator().evacuate(SimulatedCell.domain(0));
            cell.operator().evacuate(SimulatedCell.domain(1));
            cell.time.advance(1_000);

            cell.submit(SimulatedCell.tasks(8, 1_000, true));
            cell.submit(SimulatedCell.tasks(8, 1_000, false));
            cell.time.advance(20_000);

            assertThat(cell.machine().activeJobs()).isEmpty();
            assertThat(cell.violations).isEmpty();
        }

        /** Guards against an evacuation that stops what runs. */
        @Test
        void shouldKeepWhatRuns() {
            SimulatedCell cell = cell(2, 0, DriverSafeguards.allEnabled());
            cell.submit(SimulatedCell.tasks(24, 1_000, false));
            cell.time.advance(45);
            int running = cell.machine().runs().size();

            allDomains().forEach(cell.operator()::evacuate);
            cell.time.advance(30);

            assertThat(cell.evacuatedDomains()).hasSize(DOMAINS);
            assertThat(cell.machine().runs()).hasSize(running);
        }
    }

    @Nested
    final class DisabledSafeguards {
        private boolean isDetectedWithin(int seeds, DriverSafeguards safeguards) {
            for (long seed = 0; seed < seeds; seed++) {
                if (!simulate(seed, 0.2, safeguards).violations.isEmpty()) {
                    return true;
                }
            }
            return false;
        }

        @Test
        void shouldBeDetectedWhenStartsInEvacuatedDomainsAreNotWithdrawn() {
            assertThat(isDetectedWithin(SEEDS, new DriverSafeguards(true, true, false, true)))
                    .isTrue();
        }

        @Test
        void shouldBeDetectedWhenAPausedLeaderSendsStarts() {
            assertThat(isDetectedWithin(SEEDS, new DriverSafeguards(true, true, true, false)))
                    .isTrue();
        }
    }
}
