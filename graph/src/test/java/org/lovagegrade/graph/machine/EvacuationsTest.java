package org.lovagegrade.graph.machine;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.EvacuationOrderProto;
import org.lovagegrade.wire.proto.EvacuationReplyProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphSnapshotProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.WorkerProto;

final class EvacuationsTest {
    private static final long NOW_MS = 5_000;

    private final GraphStateMachine machine = GraphStateMachine.withRetention(10_000);
    private final List<RunKey> rejected = new ArrayList<>();

    @BeforeEach
    void addWorkersAndJobs() {
        machine.setListener(new GraphStateListener() {
            @Override
            public void startRejected(RunKey key) {
                rejected.add(key);
            }
        });
        addWorker("w1", "a");
        addWorker("w2", "b");
        submit("job", false);
        submit("gang", true);
    }

    private EvacuationReplyProto order(String domain, boolean isActive, long baseVersion) {
        return apply(GraphCommandProto.newBuilder()
                .setEvacuation(EvacuationOrderProto.newBuilder()
                        .setFailureDomain(domain)
                        .setActive(isActive)
                        .setBaseVersion(baseVersion)));
    }

    private EvacuationReplyProto apply(GraphCommandProto.Builder command) {
        return machine.apply(command.setAtMs(NOW_MS).build()).getEvacuation();
    }

    private void addWorker(String id, String domain) {
        apply(GraphCommandProto.newBuilder()
                .setWorker(WorkerProto.newBuilder()
                        .setId(id)
                        .setBornMs(1)
                        .setAddress(id + ":1")
                        .setFailureDomain(domain)));
    }

    private void submit(String job, boolean isGang) {
        apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId(job)
                        .addSteps(StepProto.newBuilder().setCount(2).setGang(isGang))));
    }

    private static StartProto start(String job, int index, int run, String worker) {
        return StartProto.newBuilder()
                .setTask(new TaskKey(job, 0, 0, index).toProto())
                .setRun(run)
                .setWorker(worker)
                .setBornMs(1)
                .build();
    }

    private void start(StartProto... starts) {
        apply(GraphCommandProto.newBuilder().setStart(StartsProto.newBuilder().addAllStarts(List.of(starts))));
    }

    @Nested
    final class Starts {
        /** Guards against a start that was proposed before the order and is applied after it. */
        @Test
        void shouldBeRejectedInAnEvacuatedDomain() {
            order("a", true, 0);

            start(start("job", 0, 1, "w1"), start("job", 1, 1, "w2"));

            assertThat(rejected).containsExactly(new RunKey(new TaskKey("job", 0, 0, 0), 1));
            assertThat(machine.runs()).hasSize(1);
        }

        /** Guards against a gang that would begin with some of its members. */
        @Test
        void shouldBeRejectedForAllMembersOfAGangThatNeedsTheDomain() {
            order("a", true, 0);

            start(start("gang", 0, 1, "w1"), start("gang", 1, 1, "w2"));

            assertThat(rejected).hasSize(2);
            assertThat(machine.runs()).isEmpty();
        }

        @Test
        void shouldBeAppliedAgainAfterTheReturnToService() {
            order("a", true, 0);
            order("a", false, 1);

            start(start("job", 0, 1, "w1"));

            assertThat(machine.runs()).hasSize(1);
        }

        /** Guards against an evacuation that ends what runs already. */
        @Test
        void shouldLeaveEarlierRunsAlone() {
            start(start("job", 0, 1, "w1"));

            order("a", true, 0);

            assertThat(machine.runs()).hasSize(1);
        }
    }

    @Nested
    final class Orders {
        /** Guards against a resent order that is refused, or counted as another one. */
        @Test
        void shouldBeAcknowledgedAgainWhenResent() {
            EvacuationReplyProto first = order("a", true, 0);
            EvacuationReplyProto resent = order("a", true, 0);

            assertThat(first.getAccepted()).isTrue();
            assertThat(resent).isEqualTo(first);
        }

        /** Guards against a copy of an order that was delayed on its way and would revoke a later order. */
        @Test
        void shouldBeRejectedWhenALaterOrderRequestsTheOpposite() {
            order("a", true, 0);
            order("a", false, 1);
            order("a", true, 2);

            EvacuationReplyProto delayedReturn = order("a", false, 1);

            assertThat(delayedReturn.getAccepted()).isFalse();
            assertThat(machine.evacuations().isEvacuated("a")).isTrue();
        }

        /** Guards against a return to service that was sent before the evacuation was repeated, and arrives after it. */
        @Test
        void shouldRevokeOppositeOrdersOnTheirWayWhenRepeated() {
            order("a", true, 0);
            order("a", true, 1);

            EvacuationReplyProto delayedReturn = order("a", false, 1);

            assertThat(delayedReturn.getAccepted()).isFalse();
            assertThat(machine.evacuations().isEvacuated("a")).isTrue();
        }

        @Test
        void shouldConcernOneDomainOnly() {
            order("a", true, 0);
            order("b", true, 0);
            order("a", false, 1);

            assertThat(machine.evacuations().isEvacuated("a")).isFalse();
            assertThat(machine.evacuations().isEvacuated("b")).isTrue();
        }
    }

    @Nested
    final class Snapshots {
        private GraphStateMachine restored(ByteString snapshot) {
            GraphStateMachine restored = GraphStateMachine.withRetention(10_000);
            restored.restore(snapshot);
            return restored;
        }

        /** Guards against a replica that forgets an order, or numbers the next one differently than the others. */
        @Test
        void shouldKeepOrdersAndTheirVersions() {
            order("a", true, 0);
            order("b", true, 0);
            order("b", false, 2);

            GraphStateMachine restored = restored(machine.snapshot());

            assertThat(restored.evacuations().all())
                    .containsExactlyElementsIn(machine.evacuations().all())
                    .inOrder();
            order("b", true, 3);
            restored.apply(GraphCommandProto.newBuilder()
                    .setAtMs(NOW_MS)
                    .setEvacuation(EvacuationOrderProto.newBuilder()
                            .setFailureDomain("b")
                            .setActive(true)
                            .setBaseVersion(3))
                    .build());
            assertThat(restored.snapshot()).isEqualTo(machine.snapshot());
        }

        /** Guards against a replica that keeps an order which the installed snapshot doesn't have. */
        @Test
        void shouldReplaceTheFormerOrders() {
            ByteString ofAnOlderBuild = GraphSnapshotProto.getDefaultInstance().toByteString();
            order("a", true, 0);

            machine.restore(ofAnOlderBuild);

            assertThat(machine.evacuations().all()).isEmpty();
        }
    }
}
