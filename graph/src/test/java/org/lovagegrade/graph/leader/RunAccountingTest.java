package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.TaskKeyProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Guards against work that is counted twice, not at all, or under a wrong cause. */
final class RunAccountingTest {
    private static final String JOB = "j";
    private static final int TASKS = 2;

    private final SimulatedTime time = new SimulatedTime();
    private final Metrics metrics = Metrics.create();
    private final RunAccounting accounting = new RunAccounting(time, metrics);
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000_000);

    @BeforeEach
    void addWorker() {
        machine.apply(GraphCommandProto.newBuilder()
                .setWorker(WorkerProto.newBuilder().setId("w").setBornMs(1))
                .build());
    }

    /** Starts the two tasks of a job, on two cores each, and returns the run of the first. */
    private RunRecord start(boolean isGang) {
        machine.apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId(JOB)
                        .addSteps(StepProto.newBuilder()
                                .setCount(TASKS)
                                .setGang(isGang)
                                .setPerTask(ResourcesProto.newBuilder().setMilliCores(2_000))))
                .build());
        StartsProto.Builder starts = StartsProto.newBuilder();
        for (int index = 0; index < TASKS; index++) {
            starts.addStarts(StartProto.newBuilder()
                    .setTask(TaskKeyProto.newBuilder().setJob(JOB).setIndex(index))
                    .setRun(1)
                    .setWorker("w")
                    .setBornMs(1));
        }
        machine.apply(GraphCommandProto.newBuilder().setStart(starts).build());
        return machine.runs().values().iterator().next();
    }

    private static GraphCommandProto doneEnd(int index) {
        return GraphCommandProto.newBuilder()
                .setEnd(EndsProto.newBuilder()
                        .setWorker("w")
                        .setBornMs(1)
                        .addEnds(EndProto.newBuilder()
                                .setTask(TaskKeyProto.newBuilder().setJob(JOB).setIndex(index))
                                .setRun(1)
                                .setHow(RunEndProto.RUN_DONE)))
                .build();
    }

    private RunTracker tracker(RunRecord run) {
        return new RunTracker(run, "", RunTracker.Phase.STARTING, time.nowMs());
    }

    /** A run that its worker confirmed, and that has existed for the given time. */
    private RunTracker existing(RunRecord run, long forMs) {
        RunTracker tracker = tracker(run);
        tracker.recordExistence(time.nowMs());
        time.advance(forMs);
        return tracker;
    }

    private RunUsage end(RunTracker tracker, RunEndProto how) {
        return accounting.end(tracker, how, tracker.checkpoint);
    }

    @Nested
    final class Use {
        @Test
        void shouldBeCountedFromTheConfirmationOfTheStart() {
            RunTracker tracker = tracker(start(false));
            time.advance(700);
            tracker.recordExistence(time.nowMs());
            time.advance(1_000);

            assertThat(end(tracker, RunEndProto.RUN_DONE)).isEqualTo(new RunUsage(2_000, 0, WasteCause.NONE));
        }

        @Test
        void shouldBeCountedOnceForARunThatIsGivenUpAndThenLost() {
            RunTracker tracker = existing(start(false), 1_000);

            end(tracker, RunEndProto.RUN_LOST);

            assertThat(end(tracker, RunEndProto.RUN_LOST)).isEqualTo(RunUsage.NONE);
            assertThat(metrics.scrape()).contains("lovagegrade_wasted_core_ms_total{reason=\"lost\"} 2000.0");
        }

        @Test
        void shouldBeNothingForAStartThatWasRefused() {
            RunTracker tracker = tracker(start(false));
            time.advance(1_000);

            assertThat(end(tracker, RunEndProto.RUN_REFUSED)).isEqualTo(RunUsage.NONE);
        }

        @Test
        void shouldBeCountedForARunWhoseStartWasNeverAnswered() {
            RunTracker tracker = tracker(start(false));
            time.advance(1_000);

            assertThat(end(tracker, RunEndProto.RUN_FAILED).coreMs()).isEqualTo(2_000);
        }
    }

    @Nested
    final class Checkpoints {
        @Test
        void shouldSaveTheWorkUpToTheLastOneThatWasListed() {
            RunTracker tracker = existing(start(false), 1_000);
            tracker.recordCheckpoint("c1", time.nowMs());
            time.advance(500);

            assertThat(end(tracker, RunEndProto.RUN_LOST)).isEqualTo(new RunUsage(3_000, 2_000, WasteCause.LOST));
        }

        @Test
        void shouldSaveEverythingIfTheRunWasStoppedWithANewOne() {
            RunTracker tracker = existing(start(false), 1_000);
            tracker.stopCause = WasteCause.PREEMPTED;

            assertThat(accounting.end(tracker, RunEndProto.RUN_STOPPED, "c9"))
                    .isEqualTo(new RunUsage(2_000, 2_000, WasteCause.PREEMPTED));
        }

        @Test
        void shouldSaveNothingOfACancelledJob() {
            RunTracker tracker = existing(start(false), 1_000);
            machine.apply(GraphCommandProto.newBuilder().setCancel(JOB).build());

            assertThat(accounting.end(tracker, RunEndProto.RUN_STOPPED, "c9"))
                    .isEqualTo(new RunUsage(2_000, 0, WasteCause.CANCELLED));
        }
    }

    @Nested
    final class Causes {
        @Test
        void shouldNameWhyTheSchedulerStoppedTheRun() {
            RunTracker tracker = existing(start(false), 10);
            tracker.stopCause = WasteCause.STALLED;

            assertThat(end(tracker, RunEndProto.RUN_STOPPED).waste()).isEqualTo(WasteCause.STALLED);
        }

        @Test
        void shouldNotCountMembersOfACompletedGang() {
            RunTracker tracker = existing(start(true), 10);
            tracker.stopCause = WasteCause.GANG_BROKEN;
            time.advance(10);
            machine.apply(doneEnd(1));

            assertThat(end(tracker, RunEndProto.RUN_STOPPED).waste()).isEqualTo(WasteCause.NONE);
        }
    }
}
