package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates more work than capacity while tasks crash their workers, a leader is frozen and succeeded meanwhile, and
 * orders of all kinds go unanswered and are carried out seconds later, also by workers that have started again. The low
 * bits of the seed select what the workers check.
 */
final class LateOrderScenario {
    private static final int WORKERS = 6;
    private static final long STEP_MS = 200;
    private static final int STEPS = 90;
    private static final int FIRST_FAULTY_STEP = 10;
    private static final int FAULTY_STEPS = 25;
    private static final double MIN_FAULT_RATE = 0.05;
    private static final double FAULT_RATE_RANGE = 0.2;
    private static final int CRASHING_JOBS_PERCENT = 6;
    private static final int JOBS_PER_STEP = 3;
    private static final long FREEZE_MS = 4_000;
    private static final long MIN_REBOOT_MS = 200;
    private static final int REBOOT_RANGE_MS = 3_500;
    private static final long SETTLE_MS = 14_000;

    private final SimulatedCell cell;
    private final Random random;
    private final boolean cutsWorkersOff;
    private final List<String> jobs = new ArrayList<>();

    private LateOrderScenario(SimulatedCell cell, Random random, boolean cutsWorkersOff) {
        this.cell = cell;
        this.random = random;
        this.cutsWorkersOff = cutsWorkersOff;
    }

    /** Simulates the scenario that a seed draws and returns the cell with the violations that it saw. */
    static SimulatedCell simulate(long seed) {
        SimulatedCell cell = new SimulatedCell(seed, WORKERS, 0);
        cell.carryOutUnansweredOrdersLate();
        cell.stopSlowly();
        if ((seed & 1) == 0) {
            cell.acceptOrdersToFormerIncarnations();
        }
        if ((seed & 2) == 0) {
            cell.changeIdsAtRestarts();
        }
        if ((seed & 4) == 0) {
            cell.acceptExpiredStarts();
        }
        new LateOrderScenario(cell, new Random(seed), (seed & 64) != 0).run();
        return cell;
    }

    private void run() {
        cell.setRebootTime(MIN_REBOOT_MS + random.nextInt(REBOOT_RANGE_MS));
        double faultRate = MIN_FAULT_RATE + FAULT_RATE_RANGE * random.nextDouble();
        int freezeStep = random.nextInt(STEPS);
        cell.time.advance(2_000);
        for (int step = 0; step < STEPS; step++) {
            boolean isFaulty = step >= FIRST_FAULTY_STEP && step < FIRST_FAULTY_STEP + FAULTY_STEPS;
            cell.setFaultRate(isFaulty ? faultRate : 0);
            if (step == freezeStep) {
                cell.freezeLeader(FREEZE_MS);
            }
            if (cutsWorkersOff && random.nextInt(10) == 0) {
                cell.partitionOne(1_000 + random.nextInt(9_000));
            }
            submit(step);
            cell.time.advance(STEP_MS);
        }
        cell.time.advance(SETTLE_MS);
    }

    private void submit(int step) {
        for (int count = 0; count < JOBS_PER_STEP; count++) {
            int width = 1 + random.nextInt(4);
            String job = cell.submit(SimulatedCell.tasks(width, 300 + random.nextInt(1_200), random.nextInt(3) == 0));
            jobs.add(job);
            if (step < STEPS / 2 && random.nextInt(100) < CRASHING_JOBS_PERCENT) {
                cell.makeCrashing(job, random.nextInt(width));
            }
        }
        if (random.nextInt(6) == 0) {
            cell.cancel(jobs.get(jobs.size() - 1 - random.nextInt(Math.min(jobs.size(), 8))));
        }
    }
}
