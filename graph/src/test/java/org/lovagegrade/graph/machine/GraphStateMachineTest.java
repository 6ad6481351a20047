package org.lovagegrade.graph.machine;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.BegunJobsProto;
import org.lovagegrade.wire.proto.CallerOutcomeProto;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GiveUpProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.PoolProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.RunLossProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.UnansweredStartsProto;
import org.lovagegrade.wire.proto.WorkerProto;
import org.lovagegrade.wire.proto.WorkerSuccessionProto;

final class GraphStateMachineTest {
    private static final long RETENTION_MS = 10_000;
    private static final int MAX_ATTEMPTS = 2;

    private final GraphStateMachine machine = GraphStateMachine.withRetention(RETENTION_MS);
    private long nowMs = 1_000;

    @BeforeEach
    void installConfiguration() {
        configure(5, "five");
        applyWorker("w1", 1);
        applyWorker("w2", 1);
    }

    private GraphReplyProto apply(GraphCommandProto.Builder command) {
        return machine.apply(command.setAtMs(nowMs).build());
    }

    private GraphReplyProto configure(long version, String source) {
        return apply(GraphCommandProto.newBuilder()
                .setConfigure(FleetDocumentProto.newBuilder()
                        .setVersion(version)
                        .setSource(ByteString.copyFromUtf8(source))
                        .addPools(PoolProto.newBuilder().setName("pool"))
                        .addQueues(QueueProto.newBuilder()
                                .setName("queue")
                                .setPool("pool")
                                .setMaxAttempts(MAX_ATTEMPTS))));
    }

    private void applyWorker(String id, long bornMs) {
        apply(GraphCommandProto.newBuilder()
                .setWorker(WorkerProto.newBuilder()
                        .setId(id)
                        .setBornMs(bornMs)
                        .setAddress(id + ":1")
                        .setPool("pool")));
    }

    private static StepProto step(int count, boolean gang, int... after) {
        StepProto.Builder step = StepProto.newBuilder()
                .setCount(count)
                .setGang(gang)
                .setPerTask(ResourcesProto.newBuilder().setMilliCores(1_000));
        for (int predecessor : after) {
            step.addAfter(predecessor);
        }
        return step.build();
    }

    private void submit(String id, StepProto... steps) {
        GraphProto.Builder graph =
                GraphProto.newBuilder().setId(id).setQueue("queue").setWorkspace("team");
        for (StepProto step : steps) {
            graph.addSteps(step);
        }
        apply(GraphCommandProto.newBuilder().setSubmit(graph));
    }

    private static StartProto startOf(String job, int step, int index, int run, String worker) {
        return StartProto.newBuilder()
                .setTask(new TaskKey(job, 0, step, index).toProto())
                .setRun(run)
                .setWorker(worker)
                .setBornMs(1)
                .build();
    }

    private void applyStarts(StartProto... starts) {
        StartsProto.Builder all = StartsProto.newBuilder();
        for (StartProto start : starts) {
            all.addStarts(start);
        }
        apply(GraphCommandProto.newBuilder().setStart(all));
    }

    private void applyEnd(String worker, long cursor, String job, int step, int index, int run, RunEndProto runEnd) {
        apply(GraphCommandProto.newBuilder()
                .setEnd(EndsProto.newBuilder()
                        .setWorker(worker)
                        .setBornMs(1)
                        .setCursor(cursor)
                        .addEnds(EndProto.newBuilder()
                                .setTask(new TaskKey(job, 0, step, index).toProto())
                                .setRun(run)
                                .setHow(runEnd)
                                .setCheckpoint("saved" + run))));
    }

    private void applyEndWithoutCheckpoint(String worker, String job, int run, RunEndProto runEnd) {
        apply(GraphCommandProto.newBuilder()
                .setEnd(EndsProto.newBuilder()
                        .setWorker(worker)
                        .setBornMs(1)
                        .addEnds(EndProto.newBuilder()
                                .setTask(new TaskKey(job, 0, 0, 0).toProto())
                                .setRun(run)
                                .setHow(runEnd))));
    }

    private GraphStateProto stateOf(String job) {
        return machine.job(job).orElseThrow().state();
    }

    private TaskRecord task(String job, int step, int index) {
        return machine.job(job).orElseThrow().step(0, step).tasks().get(index);
    }

    @Nested
    final class Configuration {
        @Test
        void shouldAcceptResentCurrentVersion() {
            assertThat(configure(5, "five").getDocument().getAccepted()).isTrue();
        }

        @Test
        void shouldRejectOtherContentForCurrentVersion() {
            assertThat(configure(5, "other").getDocument().getAccepted()).isFalse();
            assertThat(machine.configuration().orElseThrow().proto().getSource().toStringUtf8())
                    .isEqualTo("five");
        }

        @Test
        void shouldAcceptOlderVersionAndKeepCurrent() {
            assertThat(configure(4, "four").getDocument().getAccepted()).isTrue();
            assertThat(machine.configuration().orElseThrow().proto().getVersion())
                    .isEqualTo(5);
        }
    }

    @Nested
    final class Jobs {
        @Test
        void shouldKeepOneJobWhenSubmittedTwice() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));

            submit("a", step(1, false));

            assertThat(task("a", 0, 0).isRunning()).isTrue();
            assertThat(machine.activeJobs()).hasSize(1);
        }

        @Test
        void shouldCompleteOnlyWhenAllStepsAreDone() {
            submit("a", step(1, false), step(1, false, 0));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            assertThat(machine.job("a").orElseThrow().step(0, 1).isReady()).isFalse();

            applyEnd("w1", 1, "a", 0, 0, 1, RunEndProto.RUN_DONE);

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_RUNNING);
            assertThat(machine.job("a").orElseThrow().step(0, 1).isReady()).isTrue();
            applyStarts(startOf("a", 1, 0, 1, "w2"));
            applyEnd("w2", 1, "a", 1, 0, 1, RunEndProto.RUN_DONE);
            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_COMPLETED);
        }

        /** Guards against jobs that count as begun although their starts never reach a worker (MIXED, review/9). */
        @Test
        void shouldStayQueuedUntilAWorkerHasBegunATask() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_QUEUED);

            apply(GraphCommandProto.newBuilder()
                    .setBegun(BegunJobsProto.newBuilder().addJobs("a").addJobs("unknown")));

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_RUNNING);
        }

        /** Guards against the same after a start that was refused, or that was lost without a sign of the run. */
        @Test
        void shouldStayQueuedWhenStartsComeToNothing() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            applyEndWithoutCheckpoint("w1", "a", 1, RunEndProto.RUN_REFUSED);
            applyStarts(startOf("a", 0, 0, 2, "w1"));
            applyEndWithoutCheckpoint("w1", "a", 2, RunEndProto.RUN_LOST);

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_QUEUED);
            assertThat(task("a", 0, 0).isWaiting()).isTrue();
        }

        @Test
        void shouldHaveBegunWhenAWorkerListsTheEndOfARun() {
            submit("a", step(2, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            applyEndWithoutCheckpoint("w1", "a", 1, RunEndProto.RUN_FAILED);

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_RUNNING);
        }

        @Test
        void shouldFailWhenTaskHasUsedAllAttempts() {
            submit("a", step(1, false));
            for (int run = 1; run <= MAX_ATTEMPTS; run++) {
                assertThat(stateOf("a")).isNotEqualTo(GraphStateProto.GRAPH_FAILED);
                applyStarts(startOf("a", 0, 0, run, "w1"));
                applyEnd("w1", run, "a", 0, 0, run, RunEndProto.RUN_FAILED);
            }
            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_FAILED);
        }

        @Test
        void shouldNotCountLostRunsAsFailures() {
            submit("a", step(1, false));
            for (int run = 1; run <= MAX_ATTEMPTS + 1; run++) {
                applyStarts(startOf("a", 0, 0, run, "w1"));
                applyEnd("w1", run, "a", 0, 0, run, RunEndProto.RUN_LOST);
            }
            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_RUNNING);
            assertThat(task("a", 0, 0).checkpoint()).isEqualTo("saved3");
        }

        @Test
        void shouldForgetFinishedJobsAfterRetention() {
            submit("a", step(1, false));
            apply(GraphCommandProto.newBuilder().setCancel("a"));
            nowMs += RETENTION_MS + 1;
            submit("b", step(1, false));

            assertThat(machine.job("a")).isEmpty();
            assertThat(apply(GraphCommandProto.newBuilder().setCancel("a"))
                            .getCaller()
                            .getOutcome())
                    .isEqualTo(CallerOutcomeProto.CALLER_GONE);
        }
    }

    @Nested
    final class Gangs {
        @Test
        void shouldCompleteWhenOneMemberIsDone() {
            submit("a", step(2, true));
            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("a", 0, 1, 1, "w2"));

            applyEnd("w1", 1, "a", 0, 0, 1, RunEndProto.RUN_DONE);

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_COMPLETED);
        }

        @Test
        void shouldStayCompletedWhenWorkerOfOtherMemberIsLost() {
            submit("a", step(2, true), step(1, false, 0));
            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("a", 0, 1, 1, "w2"));
            applyEnd("w1", 1, "a", 0, 0, 1, RunEndProto.RUN_DONE);

            applyWorker("w2", 2);

            assertThat(task("a", 0, 1).isDone()).isTrue();
            assertThat(machine.runs()).isEmpty();
        }

        @Test
        void shouldStartAllMembersOrNone() {
            submit("a", step(2, true));

            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("a", 0, 1, 1, "unknown"));

            assertThat(machine.runs()).isEmpty();
            assertThat(task("a", 0, 0).isWaiting()).isTrue();
        }

        @Test
        void shouldCountOneFailurePerGangRun() {
            submit("a", step(2, true));
            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("a", 0, 1, 1, "w2"));
            applyEnd("w1", 1, "a", 0, 0, 1, RunEndProto.RUN_FAILED);
            applyEnd("w2", 1, "a", 0, 1, 1, RunEndProto.RUN_FAILED);

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_RUNNING);
        }
    }

    @Nested
    final class Successions {
        private void succeed(String worker, long formerBornMs, long bornMs, RunKey... adopted) {
            WorkerSuccessionProto.Builder succession = WorkerSuccessionProto.newBuilder()
                    .setWorker(WorkerProto.newBuilder()
                            .setId(worker)
                            .setBornMs(bornMs)
                            .setAddress(worker + ":1")
                            .setPool("pool"))
                    .setFormerBornMs(formerBornMs);
            for (RunKey run : adopted) {
                succession.addAdopted(run.toProto());
            }
            apply(GraphCommandProto.newBuilder().setSuccession(succession));
        }

        private RunKey run(int index) {
            return new RunKey(new TaskKey("a", 0, 0, index), 1);
        }

        /** Guards against a second run of what the next incarnation of a worker has accepted (TWICE, review/6). */
        @Test
        void shouldMoveAdoptedRunsAndLoseTheOthers() {
            submit("a", step(2, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("a", 0, 1, 1, "w1"));

            succeed("w1", 1, 2, run(0));

            assertThat(task("a", 0, 0).isRunning()).isTrue();
            assertThat(task("a", 0, 1).isWaiting()).isTrue();
            assertThat(machine.runs().get(run(0)).bornMs()).isEqualTo(2);
            assertThat(machine.workers().get("w1").runs().keySet()).containsExactly(run(0));
            assertThat(machine.usedBy("team").milliCores()).isEqualTo(1_000);
        }

        @Test
        void shouldKeepAdoptedRunsInSnapshots() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            succeed("w1", 1, 2, run(0));

            machine.restore(machine.snapshot());

            assertThat(machine.workers().get("w1").runs().keySet()).containsExactly(run(0));
        }

        /** Guards against a copy of the command that arrives after yet another incarnation. */
        @Test
        void shouldAdoptNothingFromAnIncarnationThatIsGone() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            applyWorker("w1", 2);

            succeed("w1", 1, 3, run(0));

            assertThat(task("a", 0, 0).isWaiting()).isTrue();
            assertThat(machine.workers().get("w1").info().getBornMs()).isEqualTo(3);
            assertThat(machine.runs()).isEmpty();
        }
    }

    /** Guards against a later leader that takes a start for answered which its predecessor had in doubt (TWICE, review/13). */
    @Nested
    final class UnansweredStarts {
        private static final RunKey RUN = new RunKey(new TaskKey("a", 0, 0, 0), 1);

        private void start() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
        }

        private void markUnanswered(RunKey... runs) {
            UnansweredStartsProto.Builder unanswered = UnansweredStartsProto.newBuilder();
            for (RunKey run : runs) {
                unanswered.addRuns(run.toProto());
            }
            apply(GraphCommandProto.newBuilder().setUnansweredStarts(unanswered));
        }

        @Test
        void shouldBeKnownWithTheirTimesAcrossSnapshots() {
            start();
            long startedAtMs = machine.clockMs();
            assertThat(machine.runs().get(RUN).isStartUnanswered()).isFalse();

            markUnanswered(RUN);
            machine.restore(machine.snapshot());

            assertThat(machine.runs().get(RUN).isStartUnanswered()).isTrue();
            assertThat(machine.runs().get(RUN).startedAtMs()).isEqualTo(startedAtMs);
            assertThat(machine.workers().get("w1").runs())
                    .containsExactly(RUN, machine.runs().get(RUN));
        }

        @Test
        void shouldStayKnownWhenTheNextIncarnationHasTheRun() {
            start();
            markUnanswered(RUN);

            apply(GraphCommandProto.newBuilder()
                    .setSuccession(WorkerSuccessionProto.newBuilder()
                            .setWorker(machine.workers().get("w1").info().toBuilder()
                                    .setBornMs(2))
                            .setFormerBornMs(1)
                            .addAdopted(RUN.toProto())));

            assertThat(machine.runs().get(RUN).isStartUnanswered()).isTrue();
        }

        @Test
        void shouldChangeNothingForRunsThatAreOverOrUnknown() {
            start();
            applyEnd("w1", 1, "a", 0, 0, 1, RunEndProto.RUN_DONE);

            markUnanswered(RUN, new RunKey(new TaskKey("none", 3, 7, -1), -5));

            assertThat(machine.runs()).isEmpty();
            assertThat(machine.usedBy("team")).isEqualTo(ResourceVector.NONE);
        }
    }

    @Nested
    final class Workers {
        @Test
        void shouldLoseRunsOfPreviousIncarnation() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));

            applyWorker("w1", 2);

            assertThat(task("a", 0, 0).isWaiting()).isTrue();
            assertThat(machine.workers().get("w1").used()).isEqualTo(ResourceVector.NONE);
        }

        @Test
        void shouldRejectStartOnDrainingWorker() {
            submit("a", step(1, false));
            apply(GraphCommandProto.newBuilder()
                    .setWorker(WorkerProto.newBuilder()
                            .setId("w1")
                            .setBornMs(1)
                            .setAddress("w1:1")
                            .setDraining(true)));

            applyStarts(startOf("a", 0, 0, 1, "w1"));

            assertThat(machine.runs()).isEmpty();
        }

        @Test
        void shouldIgnoreEndsOfPreviousIncarnation() {
            submit("a", step(1, false));
            applyWorker("w1", 2);
            applyStarts(startOf("a", 0, 0, 1, "w2"));

            applyEnd("w1", 9, "a", 0, 0, 1, RunEndProto.RUN_DONE);

            assertThat(task("a", 0, 0).isRunning()).isTrue();
            assertThat(machine.workers().get("w1").cursor()).isEqualTo(0);
        }
    }

    @Nested
    final class Snapshots {
        @Test
        void shouldRestoreJobsRunsWorkersAndUsage() {
            submit("a", step(2, false), step(1, false, 0));
            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("a", 0, 1, 1, "w2"));
            applyEnd("w1", 3, "a", 0, 0, 1, RunEndProto.RUN_DONE);

            GraphStateMachine restored = GraphStateMachine.withRetention(RETENTION_MS);
            restored.restore(machine.snapshot());

            assertThat(restored.snapshot()).isEqualTo(machine.snapshot());
            assertThat(restored.runs().keySet()).isEqualTo(machine.runs().keySet());
            assertThat(restored.usedBy("team")).isEqualTo(machine.usedBy("team"));
            assertThat(restored.workers().get("w1").cursor()).isEqualTo(3);
            JobRecord job = restored.job("a").orElseThrow();
            assertThat(job.waitingTasks()).isEqualTo(1);
            assertThat(job.step(0, 0).waitingTasks()).isEqualTo(0);
            assertThat(job.step(0, 0).runs()).hasSize(1);
        }
    }

    @Nested
    final class WorkerCrashes {
        private static final RunLossProto CRASH = RunLossProto.newBuilder()
                .setCountsAsCrash(true)
                .setSoonAfterStart(true)
                .setIsolated(true)
                .build();

        private void applyCrash(String worker, String job, int run) {
            apply(GraphCommandProto.newBuilder()
                    .setEnd(EndsProto.newBuilder()
                            .setWorker(worker)
                            .setBornMs(1)
                            .addEnds(EndProto.newBuilder()
                                    .setTask(new TaskKey(job, 0, 0, 0).toProto())
                                    .setRun(run)
                                    .setHow(RunEndProto.RUN_LOST)
                                    .setLoss(CRASH))));
        }

        @Test
        void shouldBeCountedAcrossSnapshots() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            applyCrash("w1", "a", 1);

            GraphStateMachine restored = GraphStateMachine.withRetention(RETENTION_MS);
            restored.restore(machine.snapshot());

            JobRecord job = restored.job("a").orElseThrow();
            assertThat(job.step(0, 0).tasks().get(0).crashHistory())
                    .isEqualTo(task("a", 0, 0).crashHistory());
            assertThat(job.step(0, 0).tasks().get(0).crashHistory().crashes()).isEqualTo(1);
        }

        @Test
        void shouldMarkTheJobAcrossSnapshotsOnceATaskMustBeGivenUp() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            applyCrash("w1", "a", 1);
            applyStarts(startOf("a", 0, 0, 2, "w2"));
            applyCrash("w2", "a", 2);

            GraphStateMachine restored = GraphStateMachine.withRetention(RETENTION_MS);
            restored.restore(machine.snapshot());

            TaskKey crashing = new TaskKey("a", 0, 0, 0);
            assertThat(machine.job("a").orElseThrow().crashingTask()).hasValue(crashing);
            assertThat(restored.job("a").orElseThrow().crashingTask()).hasValue(crashing);
        }

        @Test
        void shouldCountWhenTheRunWasGivenUpBeforeTheCrashWasNoticed() {
            submit("a", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"));
            applyEnd("w1", 0, "a", 0, 0, 1, RunEndProto.RUN_LOST);

            applyCrash("w1", "a", 1);

            assertThat(task("a", 0, 0).crashHistory().crashes()).isEqualTo(1);
        }

        @Test
        void shouldFailAJobThatIsGivenUp() {
            submit("a", step(1, false));

            apply(GraphCommandProto.newBuilder()
                    .setCancel("a")
                    .setGiveUp(GiveUpProto.newBuilder().setTask(new TaskKey("a", 0, 0, 0).toProto())));

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_FAILED);
        }

        @Test
        void shouldNotChangeTheStateOfAFinishedJob() {
            submit("a", step(1, false));
            apply(GraphCommandProto.newBuilder().setCancel("a"));

            apply(GraphCommandProto.newBuilder().setCancel("a").setGiveUp(GiveUpProto.getDefaultInstance()));

            assertThat(stateOf("a")).isEqualTo(GraphStateProto.GRAPH_CANCELLED);
        }
    }

    @Nested
    final class TasksAndRunsOfAJob {
        @Test
        void shouldCountTasksFromWaitingToDone() {
            submit("a", step(3, false));
            JobRecord job = machine.job("a").orElseThrow();
            StepRecord step = job.step(0, 0);
            assertThat(job.waitingTasks()).isEqualTo(3);

            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("a", 0, 1, 1, "w2"));
            assertThat(job.waitingTasks()).isEqualTo(1);
            assertThat(step.runs()).hasSize(2);

            applyEnd("w1", 1, "a", 0, 0, 1, RunEndProto.RUN_DONE);
            applyEnd("w2", 1, "a", 0, 1, 1, RunEndProto.RUN_LOST);
            assertThat(job.waitingTasks()).isEqualTo(2);
            assertThat(step.waitingTasks()).isEqualTo(2);
            assertThat(step.runs()).isEmpty();
            assertThat(step.isDone()).isFalse();
        }

        @Test
        void shouldReportRunsAsObsoleteWhenJobIsCancelled() {
            submit("a", step(2, false));
            submit("b", step(1, false));
            applyStarts(startOf("a", 0, 0, 1, "w1"), startOf("b", 0, 0, 1, "w2"));
            List<RunKey> obsoleteRuns = new ArrayList<>();
            machine.setListener(new GraphStateListener() {
                @Override
                public void runObsolete(RunRecord run) {
                    obsoleteRuns.add(run.key());
                }
            });

            apply(GraphCommandProto.newBuilder().setCancel("a"));

            assertThat(obsoleteRuns).containsExactly(new RunKey(new TaskKey("a", 0, 0, 0), 1));
        }
    }
}
