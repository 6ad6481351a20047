package org.lovagegrade.state.machine;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.CancelProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.DecisionActionProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.DecisionsProto;
import org.lovagegrade.wire.proto.EvacuationProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.JobStateProto;
import org.lovagegrade.wire.proto.MachineSnapshotProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.SubmitProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceKeyProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

final class StateMachineTest {
    private StateMachine machine = StateMachine.empty();
    private int nextRequest;

    @BeforeEach
    void createWorkspaceClassAndKey() {
        configure("maria", 0, setWorkspace(0.5));
        configure(
                "maria",
                0,
                ConfigChangeProto.newBuilder()
                        .setSetClass(WorkClassProto.newBuilder().setId("batch").build()));
        configure(
                "maria",
                0,
                ConfigChangeProto.newBuilder()
                        .setGiveKey(WorkspaceKeyProto.newBuilder()
                                .setId("key-1")
                                .setWorkspace("norte")
                                .setSecretSha256("digest-1")));
    }

    private static ConfigChangeProto.Builder setWorkspace(double share) {
        return ConfigChangeProto.newBuilder()
                .setSetWorkspace(WorkspaceProto.newBuilder().setId("norte").setShare(share));
    }

    private OutcomeProto configure(String operator, long baseRevision, ConfigChangeProto.Builder change) {
        return apply("r" + nextRequest++, configureCommand(operator, baseRevision, change));
    }

    private static CommandProto.Builder configureCommand(
            String operator, long baseRevision, ConfigChangeProto.Builder change) {
        return CommandProto.newBuilder()
                .setConfigure(ConfigureProto.newBuilder()
                        .setOperator(operator)
                        .setBaseRevision(baseRevision)
                        .setChange(change));
    }

    private OutcomeProto apply(String requestId, CommandProto.Builder command) {
        return machine.apply(command.setRequestId(requestId).setAtMs(1_000).build())
                .outcome();
    }

    private static CommandProto.Builder submit(String job, String digest) {
        JobSpecProto spec = JobSpecProto.newBuilder()
                .setId(job)
                .setWorkspace("norte")
                .setWorkClass("batch")
                .setTasks(2)
                .setPerTask(ResourcesProto.newBuilder().setMilliCores(1_000))
                .build();
        return CommandProto.newBuilder()
                .setSubmit(SubmitProto.newBuilder().setSpec(spec).setKeySha256(digest));
    }

    private ApplyResult decide(DecisionActionProto action, int task, int attempt, String worker, String reason) {
        DecisionProto decision = DecisionProto.newBuilder()
                .setAction(action)
                .setJob("job")
                .setTask(task)
                .setAttempt(attempt)
                .setWorker(worker)
                .setReason(reason)
                .build();
        return machine.apply(CommandProto.newBuilder()
                .setDecisions(DecisionsProto.newBuilder().addDecisions(decision))
                .build());
    }

    @Nested
    final class ConcurrentConfigChanges {
        @Test
        void shouldAcceptTheFirstAndReportItsAuthorAndValueToTheSecond() {
            // given
            OutcomeProto first = configure("maria", 1, setWorkspace(0.7));

            // when
            OutcomeProto second = configure("jose", 1, setWorkspace(0.2));

            // then
            assertThat(first.getStatus()).isEqualTo(OutcomeStatusProto.OK);
            assertThat(second.getStatus()).isEqualTo(OutcomeStatusProto.CONFLICT);
            assertThat(second.getDetail()).contains("maria");
            assertThat(second.getDetail()).contains("0.7");
            assertThat(machine.configView().getWorkspaces(0).getShare()).isEqualTo(0.7);
        }

        @Test
        void shouldNotConflictWithChangesOfOtherObjects() {
            // given
            configure("maria", 1, setWorkspace(0.7));

            // when
            OutcomeProto other = configure(
                    "jose",
                    0,
                    ConfigChangeProto.newBuilder()
                            .setSetWorkspace(
                                    WorkspaceProto.newBuilder().setId("sur").setShare(0.1)));

            // then
            assertThat(other.getStatus()).isEqualTo(OutcomeStatusProto.OK);
        }
    }

    @Nested
    final class RepeatedRequests {
        @Test
        void shouldGetTheFirstOutcomeAfterRestoringASnapshot() {
            // given
            OutcomeProto first = apply("same", configureCommand("maria", 1, setWorkspace(0.7)));
            configure("jose", first.getRevision(), setWorkspace(0.2));

            // when
            machine = StateMachine.fromSnapshot(machine.snapshot());
            OutcomeProto again = apply("same", configureCommand("maria", 1, setWorkspace(0.7)));

            // then
            assertThat(again).isEqualTo(first);
            assertThat(machine.configView().getWorkspaces(0).getShare()).isEqualTo(0.2);
        }

        @Test
        void shouldCreateAJobOnlyOnce() {
            // given
            OutcomeProto first = apply("submit", submit("job", "digest-1"));

            // when
            OutcomeProto again = apply("submit", submit("job", "digest-1"));

            // then
            assertThat(again).isEqualTo(first);
            assertThat(machine.jobs()).hasSize(1);
        }
    }

    @Nested
    final class Keys {
        @Test
        void shouldBeRefusedIfUnknownOrMissing() {
            assertThat(apply("a", submit("a", "unknown")).getReason()).isEqualTo("wrongKey");
            assertThat(apply("b", submit("b", "")).getReason()).isEqualTo("wrongKey");
            assertThat(machine.jobs()).isEmpty();
        }

        @Test
        void shouldBeRefusedOnceWithdrawn() {
            // given
            long revision = machine.configView().getKeys(0).getRevision();

            // when
            configure("maria", revision, ConfigChangeProto.newBuilder().setWithdrawKey("key-1"));

            // then
            assertThat(apply("late", submit("late", "digest-1")).getReason()).isEqualTo("wrongKey");
        }
    }

    @Nested
    final class Attempts {
        @BeforeEach
        void submitAndPlace() {
            apply("submit", submit("job", "digest-1"));
            decide(DecisionActionProto.PLACE, 0, 1, "w1", "fits");
        }

        @Test
        void shouldNotBePlacedOnTwoWorkers() {
            // when
            ApplyResult second = decide(DecisionActionProto.PLACE, 0, 2, "w2", "fits");

            // then
            assertThat(second.staleDecisions()).hasSize(1);
            assertThat(machine.assignedTo("w2")).isEmpty();
        }

        @Test
        void shouldCountRestartsOfWorkersUnderATask() {
            // when
            decide(DecisionActionProto.FAIL, 0, 1, "w1", "workerRestarted");
            decide(DecisionActionProto.PLACE, 0, 2, "w2", "fits");
            decide(DecisionActionProto.FAIL, 0, 2, "w2", "workerRestarted");
            decide(DecisionActionProto.PLACE, 0, 3, "w1", "fits");
            decide(DecisionActionProto.FAIL, 0, 3, "w1", "workersRestarted");

            // then
            assertThat(machine.job("job").orElseThrow().getTasks(0).getWorkerRestarts())
                    .isEqualTo(2);
        }

        @Test
        void shouldIgnoreTheEndOfAnEarlierAttempt() {
            // given
            decide(DecisionActionProto.LEASE_EXPIRED, 0, 1, "w1", "workerSilent");
            decide(DecisionActionProto.PLACE, 0, 2, "w2", "fits");

            // when
            ApplyResult stale = decide(DecisionActionProto.END, 0, 1, "w1", "completed");

            // then
            assertThat(stale.staleDecisions()).hasSize(1);
            assertThat(machine.assignedTo("w2")).hasSize(1);
        }

        @Test
        void shouldNotBePlacedOnceTheJobIsCancelled() {
            // given
            CancelProto cancel = CancelProto.newBuilder()
                    .setJob("job")
                    .setKeySha256("digest-1")
                    .build();
            apply("cancel", CommandProto.newBuilder().setCancel(cancel));

            // when
            ApplyResult placed = decide(DecisionActionProto.PLACE, 1, 1, "w1", "fits");

            // then
            assertThat(placed.staleDecisions()).hasSize(1);
        }

        @Test
        void shouldPreventRemovalOfTheirClassWhileACancelledJobStillHasAnAssignedTask() {
            // given
            CancelProto cancel = CancelProto.newBuilder()
                    .setJob("job")
                    .setKeySha256("digest-1")
                    .build();
            apply("cancel", CommandProto.newBuilder().setCancel(cancel));
            long revision = machine.configView().getClasses(0).getRevision();

            // when
            OutcomeProto whileAssigned =
                    configure("maria", revision, ConfigChangeProto.newBuilder().setRemoveClass("batch"));
            decide(DecisionActionProto.END, 0, 1, "w1", "stopped");
            OutcomeProto afterStop =
                    configure("maria", revision, ConfigChangeProto.newBuilder().setRemoveClass("batch"));

            // then
            assertThat(whileAssigned.getReason()).isEqualTo("stillInUse");
            assertThat(afterStop.getStatus()).isEqualTo(OutcomeStatusProto.OK);
        }

        @Test
        void shouldEndTheJobWhenAllTasksHaveEnded() {
            // given
            decide(DecisionActionProto.PLACE, 1, 1, "w2", "fits");
            decide(DecisionActionProto.END, 0, 1, "w1", "completed");

            // when
            decide(DecisionActionProto.END, 1, 1, "w2", "completed");

            // then
            assertThat(machine.job("job").orElseThrow().getState()).isEqualTo(JobStateProto.ENDED);
        }

        @Test
        void shouldBeRestoredFromASnapshot() {
            // when
            machine = StateMachine.fromSnapshot(machine.snapshot());

            // then
            assertThat(machine.assignedTo("w1")).hasSize(1);
            assertThat(decide(DecisionActionProto.PLACE, 0, 2, "w2", "fits").staleDecisions())
                    .hasSize(1);
        }
    }

    /** Guards against an evacuation that is lost, applied twice, or accepted for a name that does not exist. */
    @Nested
    final class Evacuations {
        private ConfigChangeProto.Builder evacuation(boolean active) {
            return ConfigChangeProto.newBuilder()
                    .setSetEvacuation(
                            EvacuationProto.newBuilder().setFailureDomain("az1").setActive(active));
        }

        @Test
        void shouldBeInForceUntilEndedAndSurviveSnapshots() {
            // when
            long revision = configure("maria", 0, evacuation(true)).getRevision();
            machine = StateMachine.fromSnapshot(machine.snapshot());

            // then
            assertThat(machine.isEvacuated("az1")).isTrue();
            assertThat(machine.isEvacuated("az2")).isFalse();

            // when
            OutcomeProto conflict = configure("jose", 0, evacuation(false));
            configure("jose", revision, evacuation(false));
            machine = StateMachine.fromSnapshot(machine.snapshot());

            // then
            assertThat(conflict.getStatus()).isEqualTo(OutcomeStatusProto.CONFLICT);
            assertThat(conflict.getDetail()).contains("changed by maria");
            assertThat(conflict.getDetail()).contains("active: true");
            assertThat(machine.isEvacuated("az1")).isFalse();
            assertThat(machine.configView().getEvacuations(0).getRevision()).isGreaterThan(revision);
        }

        @Test
        void shouldAnswerAResendAfterTheEndWithoutEvacuatingAgain() {
            // given
            OutcomeProto first = apply("same", configureCommand("maria", 0, evacuation(true)));
            configure("maria", first.getRevision(), evacuation(false));

            // when
            OutcomeProto again = apply("same", configureCommand("maria", 0, evacuation(true)));

            // then
            assertThat(again).isEqualTo(first);
            assertThat(machine.isEvacuated("az1")).isFalse();
        }

        @Test
        void shouldRememberThatTheLeaderRefusedAnUnknownName() {
            // given
            OutcomeProto first = apply("same", LeaderRefusals.unknownDomain("same", "az1"));

            // when
            machine = StateMachine.fromSnapshot(machine.snapshot());
            OutcomeProto again = apply("same", configureCommand("maria", 0, evacuation(true)));

            // then
            assertThat(again).isEqualTo(first);
            assertThat(first.getStatus()).isEqualTo(OutcomeStatusProto.REFUSED);
            assertThat(first.getReason()).isEqualTo("unknownDomain");
            assertThat(first.getDetail()).contains("az1");
            assertThat(machine.isEvacuated("az1")).isFalse();
        }

        @Test
        void shouldBeAbsentFromSnapshotsOfEarlierBuilds() throws InvalidProtocolBufferException {
            // given: a snapshot without the field, as an earlier build writes it
            MachineSnapshotProto.Builder earlier = MachineSnapshotProto.parseFrom(machine.snapshot()).toBuilder();
            earlier.getConfigBuilder().clearEvacuations();

            // when
            machine = StateMachine.fromSnapshot(earlier.build().toByteString());

            // then
            assertThat(machine.isEvacuated("az1")).isFalse();
            assertThat(configure("maria", 0, evacuation(true)).getStatus()).isEqualTo(OutcomeStatusProto.OK);
        }
    }

    @Nested
    final class InvalidChanges {
        @Test
        void shouldBeRefusedAndChangeNothing() {
            // given
            long revision = machine.revision();

            // when, then
            assertThat(configure("maria", 1, setWorkspace(1.5)).getReason()).isEqualTo("badValue");
            assertThat(configure("maria", 1, setWorkspace(Double.NaN)).getReason())
                    .isEqualTo("badValue");
            assertThat(configure("maria", 1, ConfigChangeProto.newBuilder()).getReason())
                    .isEqualTo("revisionConflict");
            assertThat(machine.revision()).isEqualTo(revision);
        }

        @Test
        void shouldNotRemoveAWorkspaceThatIsStillInUse() {
            // given
            apply("submit", submit("job", "digest-1"));

            // when
            OutcomeProto removed =
                    configure("maria", 1, ConfigChangeProto.newBuilder().setRemoveWorkspace("norte"));

            // then
            assertThat(removed.getReason()).isEqualTo("stillInUse");
        }
    }
}
