package org.lovagegrade.benchmarks;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.lovagegrade.overload.AdmissionControl;
import org.lovagegrade.overload.AdmissionDecision;
import org.lovagegrade.overload.Backlog;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.ServiceRate;
import org.lovagegrade.overload.WorkItem;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the cost of one admission decision for the largest fleet. Run by {@code bin/benchmark}. */
@State(Scope.Thread)
@BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 3)
public class AdmissionBenchmark {
    private static final long MILLI_CORES = 7_200L * 32_000;
    private static final long NOW_MS = 60_000;
    private static final int WORKSPACES = 54;

    /** The number of items that wait. */
    @Param({"100", "10000"})
    public int waiting;

    private final Random random = new Random(1);
    private final Backlog backlog = new Backlog();
    private final ServiceRate rate = new ServiceRate();
    private WorkItem item;

    /** Fills the backlog with items of three priorities. */
    @Setup
    public void fillBacklog() {
        rate.setCapacity(MILLI_CORES);
        for (int number = 0; number < waiting; number++) {
            backlog.put(item(number));
        }
        item = item(waiting);
    }

    /**
     * Decides about one item.
     *
     * @return the decision
     */
    @Benchmark
    public AdmissionDecision decide() {
        return AdmissionControl.decide(item, backlog, rate, NOW_MS);
    }

    private WorkItem item(int number) {
        int priority = random.nextInt(3);
        long pathMs = 500L + random.nextInt(10_000);
        return WorkItem.of(
                "j" + number,
                "w" + random.nextInt(WORKSPACES),
                priority,
                Objective.within(pathMs * (2 + priority)).from(random.nextInt((int) NOW_MS)),
                RemainingWork.of(pathMs, 1_000_000));
    }
}
