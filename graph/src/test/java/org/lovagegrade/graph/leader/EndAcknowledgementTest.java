package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.graph.worker.EndedRunView;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Guards against acknowledgements that reach a life which they are not meant for, beside a start (TWICE, review/11). */
final class EndAcknowledgementTest {
    private static final String WORKER = "w1";
    private static final long BORN_MS = 1;
    private static final LeaderTimings TIMINGS = new LeaderTimings(4_000, 4_400, 12_000, 200, 1_500, 3_000);

    private final SimulatedTime time = new SimulatedTime();
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000_000);
    private final RecordingLink link = new RecordingLink();
    private boolean holdsLease = true;
    private WorkerDriver driver;

    /** Keeps the orders, for the test to answer. */
    private static final class RecordingLink implements WorkerLink {
        private final List<RenewOrder> renewals = new ArrayList<>();
        private final List<StartOrder> starts = new ArrayList<>();
        private Consumer<RenewOutcome> renewalResult;
        private Consumer<OrderOutcome> startResult;

        @Override
        public void start(WorkerProto _worker, StartOrder order, Consumer<OrderOutcome> result) {
            starts.add(order);
            startResult = result;
        }

        @Override
        public void stop(WorkerProto _worker, RunKey _run, long _fencingToken, Consumer<OrderOutcome> _result) {}

        @Override
        public void renew(WorkerProto _worker, RenewOrder order, Consumer<RenewOutcome> result) {
            renewals.add(order);
            renewalResult = result;
        }

        @Override
        public void identify(WorkerProto _worker, long _fencingToken, Consumer<RenewOutcome> _result) {}

        @Override
        public void disconnect(WorkerProto _worker) {}

        private RenewOrder lastRenewal() {
            return renewals.get(renewals.size() - 1);
        }
    }

    private static RunKey run(int index) {
        return new RunKey(new TaskKey("job", 0, 0, index), 1);
    }

    private static EndedRunView end(long number, int index) {
        return new EndedRunView(number, run(index), RunEndProto.RUN_DONE, "");
    }

    private void answerWith(EndedRunView... ends) {
        link.renewalResult.accept(new RenewOutcome.Listed(time.nowMs(), BORN_MS, List.of(), List.of(ends), true));
    }

    private RunRecord commitStart(int index) {
        machine.apply(GraphCommandProto.newBuilder()
                .setStart(StartsProto.newBuilder()
                        .addStarts(StartProto.newBuilder()
                                .setTask(run(index).task().toProto())
                                .setRun(1)
                                .setWorker(WORKER)
                                .setBornMs(BORN_MS)))
                .build());
        return machine.runs().get(run(index));
    }

    private void advance(long lengthMs) {
        time.advance(lengthMs);
        driver.tick(time.nowMs());
    }

    @BeforeEach
    void driveAWorker() {
        machine.apply(GraphCommandProto.newBuilder()
                .setWorker(WorkerProto.newBuilder().setId(WORKER).setBornMs(BORN_MS))
                .build());
        machine.apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId("job")
                        .setQueue("queue")
                        .addSteps(StepProto.newBuilder().setCount(4).setPerTask(ResourcesProto.getDefaultInstance())))
                .build());
        driver = new WorkerDriver(
                new WorkerDriver.Dependencies(
                        link,
                        Runnable::run,
                        command -> machine.apply(command.build()),
                        TIMINGS,
                        time,
                        Metrics.create(),
                        _worker -> false,
                        () -> holdsLease,
                        DriverSafeguards.allEnabled()),
                1,
                time.nowMs());
        Stream.of(0, 1).forEach(this::commitStart);
        driver.workerChanged(machine.workers().get(WORKER), time.nowMs());
        advance(10);
    }

    @Nested
    final class Cursors {
        @Test
        void shouldBeSentOnceForEndsThatTheWorkerHasListed() {
            assertThat(link.lastRenewal().cursor()).isEqualTo(0);

            answerWith(end(7, 0));
            advance(5);
            RenewOrder acknowledgement = link.lastRenewal();
            answerWith();

            assertThat(acknowledgement.cursor()).isEqualTo(7);
            assertThat(acknowledgement.waitMs()).isEqualTo(0);
            assertThat(link.lastRenewal().cursor()).isEqualTo(0);
            assertThat(link.lastRenewal().waitMs()).isAtLeast(1_000);
        }

        /** Guards against the ends of a former life under a new leader, which the log counts and this one has not listed. */
        @Test
        void shouldNotBeTakenFromTheLog() {
            answerWith(end(7, 0));
            advance(5);
            answerWith();

            driver.workerRemoved(machine.workers().get(WORKER));
            driver.workerChanged(machine.workers().get(WORKER), time.nowMs());
            advance(10);

            assertThat(machine.workers().get(WORKER).cursor()).isEqualTo(7);
            assertThat(link.lastRenewal().cursor()).isEqualTo(0);
        }

        /** Guards against a leader that was paused, and takes an old list for a new one. */
        @Test
        void shouldNotBeSentWithoutTheLeaderLease() {
            holdsLease = false;

            answerWith(end(7, 0));
            advance(5);

            assertThat(link.lastRenewal().cursor()).isEqualTo(0);
        }
    }

    @Nested
    final class Starts {
        private void start(int index) {
            driver.runStarted(commitStart(index), "", time.nowMs());
        }

        @Test
        void shouldWaitForTheAnswerToAnAcknowledgement() {
            answerWith(end(7, 0));
            advance(5);
            start(2);
            assertThat(link.starts).isEmpty();

            answerWith();

            assertThat(link.starts).hasSize(1);
        }

        @Test
        void shouldHoldAcknowledgementsBackUntilTheyAreAnswered() {
            answerWith();
            start(2);
            answerWith(end(7, 0));
            advance(5);
            assertThat(link.lastRenewal().cursor()).isEqualTo(0);

            link.startResult.accept(new OrderOutcome.Done(time.nowMs()));

            assertThat(link.lastRenewal().cursor()).isEqualTo(7);
        }

        /** Guards against a copy of the start that begins its run on the next life before the acknowledgement gets there. */
        @Test
        void shouldHoldAcknowledgementsBackAfterTheyWentUnanswered() {
            answerWith();
            start(2);
            link.startResult.accept(new OrderOutcome.Unanswered());
            answerWith(end(7, 0));
            advance(200);
            answerWith(end(7, 0));
            advance(200);

            assertThat(link.lastRenewal().cursor()).isEqualTo(0);
        }

        /** Guards against a run that the next life begins, and whose end it forgets as the acknowledgement comes late. */
        @Test
        void shouldOutrankAnAcknowledgementThatWentUnanswered() {
            answerWith(end(7, 0));
            advance(5);
            RenewOrder acknowledgement = link.lastRenewal();
            start(2);

            link.renewalResult.accept(new RenewOutcome.Unanswered(false));
            advance(200);
            assertThat(link.starts).isEmpty();
            answerWith(end(7, 0));
            advance(5);
            answerWith();

            assertThat(link.starts).hasSize(1);
            assertThat(link.starts.get(0).fencingToken()).isGreaterThan(acknowledgement.fencingToken());
        }
    }
}
