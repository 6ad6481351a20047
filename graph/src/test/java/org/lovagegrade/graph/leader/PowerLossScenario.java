package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.lovagegrade.wire.proto.GraphStateProto;

/**
 * Simulates orders of all kinds that go unanswered and are carried out seconds later, while workers crash and are back under
 * their ids, also behind cuts, and all replicas lose power or their leader is replaced, all within two seconds.
 */
final class PowerLossScenario {
    private static final int WORKERS = 5;
    private static final int ROUNDS = 2;
    private static final long ROUND_MS = 30_000;
    private static final long STEP_MS = 100;
    private static final long SETTLE_MS = 60_000;
    private static final double MIN_FAULT_RATE = 0.05;
    private static final double FAULT_RATE_RANGE = 0.25;
    private static final long MIN_CALM_MS = 2_000;
    private static final long FAULTY_MS = 5_500;
    private static final int TOGETHER_MS = 2_000;
    private static final long MIN_DARK_MS = 2_000;
    private static final int DARK_RANGE_MS = 7_500;
    private static final long MIN_REBOOT_MS = 300;
    private static final int REBOOT_RANGE_MS = 3_000;
    private static final long MIN_CUT_MS = 6_000;
    private static final int CUT_RANGE_MS = 4_000;

    private final SimulatedCell cell;
    private final Random random;
    private final boolean losesPower;
    private final boolean cutsOff;
    private final List<String> jobs = new ArrayList<>();

    private PowerLossScenario(long seed) {
        this.cell = new SimulatedCell(seed, WORKERS, 0);
        this.random = new Random(seed);
        this.losesPower = (seed & 1) == 0;
        this.cutsOff = (seed & 2) == 0;
    }

    /** Simulates the scenario that a seed draws; the low bits select power losses and cuts. */
    static PowerLossScenario simulate(long seed) {
        PowerLossScenario scenario = new PowerLossScenario(seed);
        scenario.run();
        return scenario;
    }

    SimulatedCell cell() {
        return cell;
    }

    /** The jobs that are not completed, although all faults are over. */
    List<String> unfinishedJobs() {
        return jobs.stream()
                .filter(job -> cell.job(job).state() != GraphStateProto.GRAPH_COMPLETED)
                .toList();
    }

    private void run() {
        cell.acceptOrdersToFormerIncarnations();
        cell.carryOutUnansweredOrdersLate();
        cell.makeRunsSucceed();
        if (random.nextBoolean()) {
            cell.crashInSilence();
        }
        cell.time.advance(2_000);
        for (int round = 0; round < ROUNDS; round++) {
            disrupt();
            submitFor(ROUND_MS);
        }
        cell.time.advance(SETTLE_MS);
    }

    private void disrupt() {
        double faultRate = MIN_FAULT_RATE + FAULT_RATE_RANGE * random.nextDouble();
        long startMs = MIN_CALM_MS + random.nextInt(3_000);
        cell.time.after(startMs, () -> cell.setFaultRate(faultRate));
        cell.time.after(startMs + FAULTY_MS, () -> cell.setFaultRate(0));
        int crashes = 1 + random.nextInt(2);
        for (int count = 0; count < crashes; count++) {
            int worker = random.nextInt(WORKERS);
            long crashMs = startMs + 500 + random.nextInt(TOGETHER_MS);
            long rebootMs = MIN_REBOOT_MS + random.nextInt(REBOOT_RANGE_MS);
            if (cutsOff) {
                long cutMs = MIN_CUT_MS + random.nextInt(CUT_RANGE_MS);
                cell.time.after(crashMs - random.nextInt(500), () -> cell.partition(worker, cutMs));
            }
            cell.time.after(crashMs, () -> cell.crashWorkerAt(worker, rebootMs));
        }
        if (losesPower) {
            long darkMs = MIN_DARK_MS + random.nextInt(DARK_RANGE_MS);
            cell.time.after(startMs + 500 + random.nextInt(TOGETHER_MS), () -> cell.losePower(darkMs));
        } else if (random.nextBoolean()) {
            cell.time.after(startMs + 500 + random.nextInt(TOGETHER_MS), cell::elect);
        }
    }

    private void submitFor(long lengthMs) {
        for (long passedMs = 0; passedMs < lengthMs; passedMs += STEP_MS) {
            if (cell.hasLeader() && random.nextInt(3) == 0) {
                jobs.add(cell.submit(SimulatedCell.tasks(1 + random.nextInt(3), 500, false)));
            }
            cell.time.advance(STEP_MS);
        }
    }
}
