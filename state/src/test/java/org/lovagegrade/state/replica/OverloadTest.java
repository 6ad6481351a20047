package org.lovagegrade.state.replica;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.ClassKindProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.CommandRequestProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.HeartbeatBatchProto;
import org.lovagegrade.wire.proto.HeartbeatProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.SubmitProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/** Guards against jobs that are accepted although they can't start in time, and against refusals that don't last. */
final class OverloadTest {
    private static final long RUN_MS = 10_000;
    private static final long WAIT_TARGET_MS = 5_000;
    /** A result is useful for three times its objective, of which the run itself takes one run time. */
    private static final long LAST_USEFUL_START_MS = 3 * (WAIT_TARGET_MS + RUN_MS) - RUN_MS;

    private final GroupOfOne group = new GroupOfOne();
    private FleetApplication leader = new FleetApplication(Metrics.create(), true);
    private long nowMs;

    /** Commits each proposal at once, or when told to. */
    private final class GroupOfOne implements Leadership {
        private final List<Runnable> uncommitted = new ArrayList<>();
        private boolean commitsAtOnce = true;
        private long index;

        @Override
        public void propose(ByteString command) {
            propose(command, _reply -> {});
        }

        @Override
        public void propose(ByteString command, Consumer<EnvelopeProto> reply) {
            uncommitted.add(() -> reply.accept(leader.apply(
                    LogEntryProto.newBuilder()
                            .setIndex(++index)
                            .setCommand(command)
                            .build(),
                    nowMs)));
        }

        void commit() {
            while (!uncommitted.isEmpty()) {
                uncommitted.remove(0).run();
            }
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public boolean holdsLease() {
            return true;
        }

        @Override
        public long term() {
            return 1;
        }

        @Override
        public String leader() {
            return "s1#1";
        }

        @Override
        public MembershipProto membership() {
            return MembershipProto.getDefaultInstance();
        }

        @Override
        public long commitIndex() {
            return index;
        }
    }

    @BeforeEach
    void startWithFourCores() {
        takeOver(leader);
        set(ConfigChangeProto.newBuilder()
                .setSetWorkspace(WorkspaceProto.newBuilder().setId("norte").setShare(1)));
        set(ConfigChangeProto.newBuilder().setSetClass(fitting().setWaitTargetMs(WAIT_TARGET_MS)));
        set(ConfigChangeProto.newBuilder().setSetClass(fitting().setId("nightly")));
        set(ConfigChangeProto.newBuilder()
                .setSetClass(
                        fitting().setId("map").setKind(ClassKindProto.SERVICE).setWaitTargetMs(WAIT_TARGET_MS)));
        set(ConfigChangeProto.newBuilder()
                .setSetClass(fitting().setId("patient").setWaitTargetMs(600_000)));
        heartbeat();
    }

    private static WorkClassProto.Builder fitting() {
        return WorkClassProto.newBuilder()
                .setId("fitting")
                .setKind(ClassKindProto.BATCH)
                .setOpenWorkspace("norte");
    }

    private void takeOver(FleetApplication application) {
        leader = application;
        leader.becomeLeader(group, nowMs);
    }

    private void set(ConfigChangeProto.Builder change) {
        send(CommandProto.newBuilder().setConfigure(ConfigureProto.newBuilder().setChange(change)));
    }

    private void heartbeat() {
        HeartbeatProto.Builder heartbeat = HeartbeatProto.newBuilder()
                .setWorker("w1")
                .setBootId("boot-1")
                .setFailureDomain("az1")
                .setCapacity(ResourcesProto.newBuilder().setMilliCores(4_000).setMemoryMb(64_000));
        leader.handle(
                EnvelopeProto.newBuilder()
                        .setHeartbeatBatch(HeartbeatBatchProto.newBuilder().addHeartbeats(heartbeat))
                        .build(),
                _reply -> {},
                nowMs);
        group.commit();
    }

    private OutcomeProto send(CommandProto.Builder command) {
        List<OutcomeProto> outcomes = new ArrayList<>();
        leader.handle(
                EnvelopeProto.newBuilder()
                        .setCommandRequest(CommandRequestProto.newBuilder().setCommand(command))
                        .build(),
                reply -> outcomes.add(reply.getCommandReply().getOutcome()),
                nowMs);
        if (group.commitsAtOnce) {
            group.commit();
            leader.tick(nowMs);
            group.commit();
        }
        return outcomes.isEmpty() ? OutcomeProto.getDefaultInstance() : outcomes.get(0);
    }

    private OutcomeProto submit(String job, String workClass, long declaredRunMs) {
        JobSpecProto spec = JobSpecProto.newBuilder()
                .setId(job)
                .setWorkspace("norte")
                .setWorkClass(workClass)
                .setTasks(1)
                .setPerTask(ResourcesProto.newBuilder().setMilliCores(4_000).setMemoryMb(16))
                .setDeclaredRunMs(declaredRunMs)
                .build();
        return send(CommandProto.newBuilder()
                .setRequestId(job)
                .setSubmit(SubmitProto.newBuilder().setSpec(spec)));
    }

    private List<OutcomeProto> submitTwenty(String workClass, long declaredRunMs) {
        List<OutcomeProto> outcomes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            outcomes.add(submit(workClass + "-" + i, workClass, declaredRunMs));
        }
        return outcomes;
    }

    private static long accepted(List<OutcomeProto> outcomes) {
        return outcomes.stream()
                .filter(outcome -> outcome.getStatus() == OutcomeStatusProto.OK)
                .count();
    }

    @Nested
    final class JobsBeyondAllCapacity {
        @Test
        void shouldBeRefusedOnceTheyCanNotStartWhileTheirResultsAreUseful() {
            // when: each takes the whole fleet for its run time
            List<OutcomeProto> outcomes = submitTwenty("fitting", RUN_MS);

            // then: what was accepted can start in time, and nothing was refused that could
            long waiting = accepted(outcomes) - 1;
            assertThat((waiting - 1) * RUN_MS).isAtMost(LAST_USEFUL_START_MS);
            assertThat(waiting * RUN_MS).isAtLeast(WAIT_TARGET_MS);
            OutcomeProto last = outcomes.get(19);
            assertThat(last.getStatus()).isEqualTo(OutcomeStatusProto.REFUSED);
            assertThat(last.getReason()).isEqualTo("overloaded");
            assertThat(last.getRetryAfterMs()).isAtLeast(1_000);
        }

        @Test
        void shouldBeCountedWhileTheirSubmissionsAreNotCommitted() {
            // given
            group.commitsAtOnce = false;

            // when
            submitTwenty("fitting", RUN_MS);
            group.commit();

            // then
            long jobs = 0;
            for (int i = 0; i < 20; i++) {
                group.commitsAtOnce = true;
                jobs += submit("fitting-" + i, "fitting", RUN_MS).getStatus() == OutcomeStatusProto.OK ? 1 : 0;
            }
            assertThat(jobs).isLessThan(10);
        }

        @Test
        void shouldBeAcceptedIfTheirClassHasNoTargetOrTheyAreServices() {
            // given
            submitTwenty("fitting", RUN_MS);

            // when, then
            assertThat(accepted(submitTwenty("nightly", RUN_MS))).isEqualTo(20);
            assertThat(accepted(submitTwenty("map", RUN_MS))).isEqualTo(20);
        }

        @Test
        void shouldNotKeepOutJobsWithAShorterTarget() {
            assertThat(accepted(submitTwenty("patient", RUN_MS))).isEqualTo(20);
            assertThat(submit("new", "fitting", RUN_MS).getStatus()).isEqualTo(OutcomeStatusProto.OK);
        }

        @Test
        void shouldBeAcceptedIfTheirRunTimeIsUnknown() {
            assertThat(accepted(submitTwenty("fitting", 0))).isEqualTo(20);
        }

        @Test
        void shouldBeAcceptedUnlessTheSettingSaysOtherwise() {
            // given
            FleetApplication next = new FleetApplication(Metrics.create(), false);
            next.restore(leader.snapshot());
            takeOver(next);
            heartbeat();

            // when, then
            assertThat(accepted(submitTwenty("fitting", RUN_MS))).isEqualTo(20);
        }
    }

    @Nested
    final class ALaterLeader {
        private List<OutcomeProto> before;

        @BeforeEach
        void submitAndReplaceTheLeader() {
            before = submitTwenty("fitting", RUN_MS);
            FleetApplication next = new FleetApplication(Metrics.create(), true);
            next.restore(leader.snapshot());
            takeOver(next);
        }

        @Test
        void shouldGiveEachResendTheFirstAnswer() {
            // when, then: also while it knows no worker, and so would accept
            assertThat(submitTwenty("fitting", RUN_MS)).isEqualTo(before);
        }

        @Test
        void shouldCountTheWorkThatEarlierOnesAccepted() {
            // given
            heartbeat();

            // when
            long more = 0;
            while (more < 20 && submit("more-" + more, "fitting", RUN_MS).getStatus() == OutcomeStatusProto.OK) {
                more++;
            }

            // then
            long waiting = accepted(before) - 1 + more;
            assertThat((waiting - 1) * RUN_MS).isAtMost(LAST_USEFUL_START_MS);
        }

        @Test
        void shouldRefuseNothingWhileItKnowsNoWorker() {
            assertThat(submit("new", "fitting", RUN_MS).getStatus()).isEqualTo(OutcomeStatusProto.OK);
        }
    }

    @Nested
    final class CancelledJobs {
        @Test
        void shouldNoLongerCount() {
            // given
            submitTwenty("fitting", RUN_MS);

            // when
            for (int i = 0; i < 20; i++) {
                CommandProto.Builder cancel = CommandProto.newBuilder();
                cancel.getCancelBuilder().setJob("fitting-" + i).setOperator("maria");
                send(cancel);
            }

            // then
            assertThat(submit("new", "fitting", RUN_MS).getStatus()).isEqualTo(OutcomeStatusProto.OK);
        }
    }
}
