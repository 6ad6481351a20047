package org.lovagegrade.graph.leader;

import java.util.Random;

/**
 * Simulates workers that crash in silence and start again under their ids within a moment, while jobs keep coming: orders to
 * a former incarnation are carried out by the next one, which is cut off soon after, or whose leader is replaced.
 */
final class RebootScenario {
    private static final int WORKERS = 3;
    private static final int ROUNDS = 6;
    private static final int STEPS_A_ROUND = 60;
    private static final long STEP_MS = 50;
    private static final long SETTLE_MS = 20_000;
    private static final int MIN_REBOOT_MS = 20;
    private static final int REBOOT_RANGE_MS = 600;
    private static final long CUT_MS = 9_000;

    private final SimulatedCell cell;
    private final Random random;
    private boolean cutsOff;
    private boolean replacesLeaders;
    private boolean runsLast;

    private RebootScenario(long seed) {
        this.cell = new SimulatedCell(seed, WORKERS, 0);
        this.random = new Random(seed);
        cell.acceptOrdersToFormerIncarnations();
        cell.crashInSilence();
    }

    static RebootScenario withSeed(long seed) {
        return new RebootScenario(seed);
    }

    /** Cuts the next incarnations off soon after their start. */
    RebootScenario withCuts() {
        cutsOff = true;
        return this;
    }

    /** Replaces the leader soon after workers have started again. */
    RebootScenario withNewLeaders() {
        replacesLeaders = true;
        return this;
    }

    /** Lets all tasks go on until they are stopped. */
    RebootScenario withLastingRuns() {
        runsLast = true;
        return this;
    }

    /** Simulates the scenario and returns the cell with the violations that it saw. */
    SimulatedCell simulate() {
        if (runsLast) {
            cell.makeRunsLast();
        }
        cell.time.advance(3_000);
        for (int round = 0; round < ROUNDS; round++) {
            simulateRound(random.nextInt(WORKERS));
        }
        cell.time.advance(SETTLE_MS);
        return cell;
    }

    private void simulateRound(int worker) {
        int rebootMs = MIN_REBOOT_MS + random.nextInt(REBOOT_RANGE_MS);
        cell.crashWorkerAt(worker, rebootMs);
        if (cutsOff) {
            cell.time.after(rebootMs + random.nextInt(1_000), () -> cell.partition(worker, CUT_MS));
        }
        if (replacesLeaders) {
            cell.time.after(rebootMs + random.nextInt(800), cell::elect);
        }
        for (int step = 0; step < STEPS_A_ROUND; step++) {
            if (random.nextInt(3) == 0) {
                cell.submit(SimulatedCell.tasks(1 + random.nextInt(2), 300, false));
            }
            cell.time.advance(STEP_MS);
        }
        cell.time.advance(cutsOff ? CUT_MS : 0);
        if (runsLast) {
            cell.cancelAll();
            cell.time.advance(1_000);
        }
    }
}
