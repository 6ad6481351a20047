package org.lovagegrade.benchmarks;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Event;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Policy;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Scheduler;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;
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

/**
 * Measures the cost of a decision in a full cell: one task ends, a new job arrives, and the scheduler fills the freed
 * capacity. Run by {@code bin/benchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 3)
public class DecisionBenchmark {
    private static final int RUNNING_TASKS_PER_WORKER = 4;
    private static final int WORKSPACES = 54;
    private static final int CORES = 32;
    private static final int MEMORY_MB = 131_072;
    private static final int WORKERS_PER_RACK = 36;
    private static final int FAILURE_DOMAINS = 8;
    private static final int QUEUED_JOBS_PER_WORKER = 3;

    /** The number of workers in the cell. */
    @Param({"30", "480", "7200"})
    public int workers;

    private final Random random = new Random(1);
    private final Deque<Attempt> running = new ArrayDeque<>();
    private Scheduler scheduler;
    private long nowMs;
    private long nextJob;

    /** Fills the cell and leaves nearly three queued jobs per worker. */
    @Setup
    public void fillCell() {
        scheduler = Scheduler.with(Policy.current());
        for (int i = 0; i < workers; i++) {
            scheduler.apply(
                    nowMs,
                    new Event.WorkerAnnounced(new Worker(
                            "w" + i,
                            "d" + i % FAILURE_DOMAINS,
                            "r" + i / WORKERS_PER_RACK,
                            Resources.of(CORES * Resources.MILLI_CORES_PER_CORE, MEMORY_MB, 0))));
        }
        for (int i = 0; i < WORKSPACES; i++) {
            scheduler.apply(nowMs, new Event.WorkspaceSet(new Workspace("t" + i, 1.0 / WORKSPACES, Limits.UNLIMITED)));
        }
        scheduler.apply(
                nowMs,
                new Event.ClassSet(new WorkClass(
                        "batch", ClassKind.BATCH, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty())));
        for (int i = 0; i < workers * (RUNNING_TASKS_PER_WORKER + QUEUED_JOBS_PER_WORKER); i++) {
            submit();
        }
        decide();
    }

    /**
     * Applies one attempt end and one job submission, then decides.
     *
     * @return the decisions
     */
    @Benchmark
    public List<Decision> endAndArrival() {
        nowMs++;
        Attempt ended = running.poll();
        if (ended != null) {
            scheduler.apply(nowMs, new Event.AttemptEnded(ended));
        }
        submit();
        return decide();
    }

    private void submit() {
        Resources size = Resources.of(4_000 + 500L * random.nextInt(16), 4_096 + 256L * random.nextInt(100), 0);
        String workspace = "t" + random.nextInt(WORKSPACES);
        scheduler.apply(nowMs, new Event.JobSubmitted(new Job("j" + nextJob++, workspace, "batch", 1, size, 0, nowMs)));
    }

    private List<Decision> decide() {
        List<Decision> decisions = scheduler.decide(nowMs);
        for (Decision decision : decisions) {
            if (decision.action() == Action.PLACE) {
                running.add(decision.toAttempt());
            }
        }
        return decisions;
    }
}
