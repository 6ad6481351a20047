package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.graph.worker.RunView;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Guards against starts of a task while a worker has a run of it that the log does not have there (TWICE). */
final class UnknownRunsTest {
    private static final long MAX_LEASE_MS = 6_000;
    private static final long MAX_ORDER_DELAY_MS = 12_000;
    private static final LeaderTimings TIMINGS =
            new LeaderTimings(5_000, MAX_LEASE_MS, MAX_ORDER_DELAY_MS, 200, 1_500, 3_000);
    private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

    private final UnknownRuns unknownRuns = new UnknownRuns(TIMINGS);
    private final WorkerSession session = sessionOf("w1");

    private static WorkerSession sessionOf(String worker) {
        GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
        machine.apply(GraphCommandProto.newBuilder()
                .setWorker(WorkerProto.newBuilder().setId(worker).setBornMs(1))
                .build());
        return new WorkerSession(machine.workers().get(worker), 1, 0);
    }

    private static List<RunView> running(TaskKey... tasks) {
        return Stream.of(tasks)
                .map(task -> new RunView(new RunKey(task, 1), "", 1, 0))
                .toList();
    }

    @Nested
    final class Tasks {
        @Test
        void shouldBeHeldUntilTheirWorkerListsThemNoMore() {
            unknownRuns.record(session, running(TASK), 1_000);
            assertThat(unknownRuns.mayRun(TASK, 1_500)).isTrue();
            assertThat(unknownRuns.mayRun(new TaskKey("a", 0, 0, 1), 1_500)).isFalse();

            unknownRuns.record(session, running(), 2_000);

            assertThat(unknownRuns.mayRun(TASK, 2_000)).isFalse();
        }

        @Test
        void shouldBeHeldWhateverOtherWorkersList() {
            unknownRuns.record(session, running(TASK), 1_000);

            unknownRuns.record(sessionOf("w2"), running(), 1_100);

            assertThat(unknownRuns.mayRun(TASK, 1_200)).isTrue();
        }

        /** Guards against a task that is held for good, since the worker of the late run is gone. */
        @Test
        void shouldBeReleasedOnceNoLeaseCanHold() {
            unknownRuns.record(session, running(TASK), 1_000);

            assertThat(unknownRuns.mayRun(TASK, 1_000 + MAX_ORDER_DELAY_MS + MAX_LEASE_MS))
                    .isTrue();
            assertThat(unknownRuns.mayRun(TASK, 2_000 + MAX_ORDER_DELAY_MS + MAX_LEASE_MS))
                    .isFalse();
        }
    }
}
