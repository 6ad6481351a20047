package org.lovagegrade.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.Event;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Policy;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Scheduler;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.DecisionActionProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.DecisionsProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.SubmitProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/**
 * Measures heap bytes per running task and per worker, and snapshot bytes per 1000 jobs. The figures of the state
 * machine include the outcome that it keeps for each submission. Run by {@code bin/measure-sizes}.
 */
public final class SizeMeasurement {
    private static final int TASKS = 27_000;
    private static final int WORKERS = 7_200;
    private static final int TASK_MILLI_CORES = 1_000;
    private static final int TASK_MEMORY_MB = 1_024;
    private static final int GC_ROUNDS = 4;

    private SizeMeasurement() {}

    /**
     * Prints one line per measurement.
     *
     * @param _args unused
     */
    public static void main(String[] _args) {
        long initialBytes = usedBytes();
        StateMachine stateMachine = filledStateMachine();
        long bytesWithStateMachine = usedBytes();
        print("machine-heap-bytes-per-running-task-with-its-answer", (bytesWithStateMachine - initialBytes) / TASKS);
        print("snapshot-bytes-per-1000-jobs", stateMachine.snapshot().size() * 1_000L / TASKS);
        long bytesBeforeWorkers = usedBytes();
        Scheduler scheduler = schedulerWithWorkers();
        long bytesWithWorkers = usedBytes();
        print("scheduler-heap-bytes-per-worker", (bytesWithWorkers - bytesBeforeWorkers) / WORKERS);
        submitAll(scheduler);
        print("scheduler-heap-bytes-per-running-task", (usedBytes() - bytesWithWorkers) / TASKS);
        // Uses both objects after the last measurement, so that they are not garbage collected before.
        print("kept", stateMachine.revision() + scheduler.liveJobs().size());
    }

    private static StateMachine filledStateMachine() {
        StateMachine stateMachine = StateMachine.empty();
        apply(
                stateMachine,
                "team",
                ConfigChangeProto.newBuilder()
                        .setSetWorkspace(
                                WorkspaceProto.newBuilder().setId("norte").setShare(1)));
        apply(
                stateMachine,
                "class",
                ConfigChangeProto.newBuilder()
                        .setSetClass(WorkClassProto.newBuilder().setId("open").setOpenWorkspace("norte")));
        for (int i = 0; i < TASKS; i++) {
            String id = String.format(Locale.ROOT, "job-%016d", i);
            JobSpecProto spec = JobSpecProto.newBuilder()
                    .setId(id)
                    .setWorkspace("norte")
                    .setWorkClass("open")
                    .setTasks(1)
                    .setPerTask(ResourcesProto.newBuilder().setMilliCores(TASK_MILLI_CORES))
                    .build();
            stateMachine.apply(CommandProto.newBuilder()
                    .setRequestId(id)
                    .setSubmit(SubmitProto.newBuilder().setSpec(spec))
                    .build());
            DecisionProto placed = DecisionProto.newBuilder()
                    .setAction(DecisionActionProto.PLACE)
                    .setJob(id)
                    .setAttempt(1)
                    .setWorker("worker-" + i % WORKERS)
                    .setWorkerBoot("000001700000000")
                    .build();
            stateMachine.apply(CommandProto.newBuilder()
                    .setDecisions(DecisionsProto.newBuilder().addDecisions(placed))
                    .build());
        }
        return stateMachine;
    }

    private static void apply(StateMachine stateMachine, String requestId, ConfigChangeProto.Builder change) {
        stateMachine.apply(CommandProto.newBuilder()
                .setRequestId(requestId)
                .setConfigure(ConfigureProto.newBuilder().setChange(change))
                .build());
    }

    private static Scheduler schedulerWithWorkers() {
        Scheduler scheduler = Scheduler.with(Policy.current());
        scheduler.apply(0, new Event.WorkspaceSet(new Workspace("t", 1, Limits.UNLIMITED)));
        scheduler.apply(
                0,
                new Event.ClassSet(new WorkClass(
                        "batch", ClassKind.BATCH, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty())));
        for (int i = 0; i < WORKERS; i++) {
            Resources capacity = Resources.of(32 * Resources.MILLI_CORES_PER_CORE, 131_072, 2);
            scheduler.apply(
                    0, new Event.WorkerAnnounced(new Worker("worker-" + i, "d" + i % 8, "r" + i / 36, capacity)));
        }
        scheduler.decide(0);
        return scheduler;
    }

    private static void submitAll(Scheduler scheduler) {
        Resources size = Resources.of(TASK_MILLI_CORES, TASK_MEMORY_MB, 0);
        for (int i = 0; i < TASKS; i++) {
            scheduler.apply(0, new Event.JobSubmitted(new Job("job-" + i, "t", "batch", 1, size, 0, 0)));
        }
        scheduler.decide(0);
    }

    private static long usedBytes() {
        List<Long> used = new ArrayList<>();
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
            used.add(Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return used.get(used.size() - 1);
    }

    private static void print(String name, long value) {
        System.out.println("MEASURED " + name + " " + value);
    }
}
