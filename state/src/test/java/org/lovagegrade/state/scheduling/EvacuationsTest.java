package org.lovagegrade.state.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.wire.proto.AttemptProto;
import org.lovagegrade.wire.proto.AttemptReportProto;
import org.lovagegrade.wire.proto.AttemptStateProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.EvacuationProto;
import org.lovagegrade.wire.proto.HeartbeatAnswerProto;
import org.lovagegrade.wire.proto.HeartbeatBatchProto;
import org.lovagegrade.wire.proto.HeartbeatProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.SubmitProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/** Guards against tasks that start in an evacuated failure domain because they were placed there before. */
final class EvacuationsTest {
    private final StateMachine machine = StateMachine.empty();
    private final List<CommandProto> proposed = new ArrayList<>();
    private LeaderScheduler leader;
    private long nowMs;

    @BeforeEach
    void takeOverAndSubmit() {
        takeOver();
        commit(configure(ConfigChangeProto.newBuilder()
                .setSetWorkspace(WorkspaceProto.newBuilder().setId("norte").setShare(1))));
        commit(configure(ConfigChangeProto.newBuilder()
                .setSetClass(WorkClassProto.newBuilder().setId("batch").setOpenWorkspace("norte"))));
    }

    private void takeOver() {
        proposed.clear();
        leader = new LeaderScheduler(
                machine, command -> proposed.add(command.build()), Metrics.create(), nowMs, 1_000 + nowMs, false);
    }

    private static CommandProto.Builder configure(ConfigChangeProto.Builder change) {
        return CommandProto.newBuilder()
                .setConfigure(ConfigureProto.newBuilder().setChange(change));
    }

    private void setEvacuation(boolean active) {
        long base = machine.configView().getEvacuationsList().stream()
                .mapToLong(EvacuationProto::getRevision)
                .sum();
        CommandProto.Builder command = configure(ConfigChangeProto.newBuilder()
                .setSetEvacuation(
                        EvacuationProto.newBuilder().setFailureDomain("az1").setActive(active)));
        command.getConfigureBuilder().setBaseRevision(base);
        commit(command);
    }

    private void commit(CommandProto.Builder command) {
        leader.commandApplied(machine.apply(command.build()), nowMs);
    }

    private void commitProposed() {
        while (!proposed.isEmpty()) {
            commit(proposed.remove(0).toBuilder());
        }
    }

    private void submit() {
        commit(CommandProto.newBuilder()
                .setSubmit(SubmitProto.newBuilder()
                        .setSpec(JobSpecProto.newBuilder()
                                .setId("job")
                                .setWorkspace("norte")
                                .setWorkClass("batch")
                                .setTasks(1)
                                .setPerTask(ResourcesProto.newBuilder().setMilliCores(1_000)))));
    }

    private HeartbeatAnswerProto heartbeat(String worker, String domain, AttemptReportProto... reports) {
        HeartbeatProto heartbeat = HeartbeatProto.newBuilder()
                .setWorker(worker)
                .setBootId("boot-1")
                .setFailureDomain(domain)
                .setCapacity(ResourcesProto.newBuilder().setMilliCores(1_000).setMemoryMb(1_000))
                .addAllAttempts(List.of(reports))
                .build();
        return leader.handleHeartbeats(
                        HeartbeatBatchProto.newBuilder()
                                .addHeartbeats(heartbeat)
                                .build(),
                        nowMs)
                .getAnswers(0);
    }

    private static AttemptReportProto running(AttemptProto attempt) {
        return AttemptReportProto.newBuilder()
                .setAttempt(attempt)
                .setState(AttemptStateProto.ATTEMPT_RUNNING)
                .build();
    }

    @Nested
    final class AnAttemptThatWasPlacedBeforeTheEvacuation {
        @BeforeEach
        void place() {
            heartbeat("w1", "az1");
            submit();
            leader.tick(nowMs);
        }

        @Test
        void shouldMoveToAnotherDomainIfItWasNeverSent() {
            // given
            commitProposed();
            assertThat(machine.assignedTo("w1")).hasSize(1);

            // when
            setEvacuation(true);

            // then: neither before nor after its withdrawal is committed is it sent
            assertThat(heartbeat("w1", "az1").getHeldList()).isEmpty();
            commitProposed();
            assertThat(heartbeat("w1", "az1").getHeldList()).isEmpty();
            heartbeat("w2", "az2");
            commitProposed();
            assertThat(heartbeat("w2", "az2").getHeldList()).hasSize(1);
        }

        @Test
        void shouldNotBeSentIfItsPlacementIsCommittedAfterTheEvacuation() {
            // when: the domain is returned, and the placement but not its withdrawal is committed
            setEvacuation(true);
            leader.tick(nowMs);
            setEvacuation(false);
            commit(proposed.remove(0).toBuilder());

            // then
            assertThat(machine.assignedTo("w1")).hasSize(1);
            assertThat(heartbeat("w1", "az1").getHeldList()).isEmpty();
        }

        @Test
        void shouldNotBeSentIfTheDomainIsReturnedBeforeItsWithdrawalIsCommitted() {
            // given
            commitProposed();

            // when
            setEvacuation(true);
            leader.tick(nowMs);
            setEvacuation(false);

            // then
            assertThat(heartbeat("w1", "az1").getHeldList()).isEmpty();
            commitProposed();
            assertThat(heartbeat("w1", "az1").getHeldList()).hasSize(1);
            assertThat(heartbeat("w1", "az1").getHeld(0).getAttempt().getAttempt())
                    .isEqualTo(2);
        }

        @Test
        void shouldRunOnWithRenewedLeasesIfItsWorkerReportsIt() {
            // given
            commitProposed();
            AttemptProto attempt = heartbeat("w1", "az1").getHeld(0).getAttempt();

            // when
            setEvacuation(true);
            HeartbeatAnswerProto answer = heartbeat("w1", "az1", running(attempt));

            // then
            assertThat(answer.getHeld(0).getAttempt()).isEqualTo(attempt);
            assertThat(answer.getStopList()).isEmpty();
        }

        @Test
        void shouldNotBeSentByALaterLeaderUnlessItsWorkerReportsIt() {
            // given
            commitProposed();
            AttemptProto attempt = heartbeat("w1", "az1").getHeld(0).getAttempt();
            setEvacuation(true);

            // when
            takeOver();

            // then
            assertThat(heartbeat("w1", "az1").getHeldList()).isEmpty();
            assertThat(heartbeat("w1", "az1", running(attempt)).getHeldList()).hasSize(1);
        }
    }

    @Nested
    final class ALaterLeader {
        @Test
        void shouldPlaceNothingInADomainThatAnEarlierOneEvacuated() {
            // given
            setEvacuation(true);

            // when
            takeOver();
            heartbeat("w1", "az1");
            submit();
            leader.tick(nowMs);
            commitProposed();

            // then
            assertThat(machine.assignedTo("w1")).isEmpty();
        }
    }

    @Nested
    final class TheNameOfADomain {
        private Evacuations.Knowledge knowledge(String domain) {
            return leader.evacuations().knowledgeOf(domain, nowMs);
        }

        @Test
        void shouldBeKnownFromWorkersEntriesAndEarlierOrders() {
            // when
            heartbeat("w2", "az2");
            commit(CommandProto.newBuilder()
                    .setEntryJoined(EntryMemberProto.newBuilder().setId("e3").setFailureDomain("az3")));
            setEvacuation(false);

            // then
            assertThat(knowledge("az1")).isEqualTo(Evacuations.Knowledge.KNOWN);
            assertThat(knowledge("az2")).isEqualTo(Evacuations.Knowledge.KNOWN);
            assertThat(knowledge("az3")).isEqualTo(Evacuations.Knowledge.KNOWN);
        }

        @Test
        void shouldNotBeRefusedByALeaderThatHasNotHeardFromItsWorkersYet() {
            // when, then
            assertThat(knowledge("az9")).isEqualTo(Evacuations.Knowledge.NOT_YET_KNOWN);

            // when, then
            nowMs += 5_000;
            assertThat(knowledge("az9")).isEqualTo(Evacuations.Knowledge.UNKNOWN);
        }
    }
}
