package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Guards against a report of another writer that ends, moves or starts again what a healthy worker runs (TWICE). */
final class ForeignReportTest {
    private static final int WORKERS = 3;
    private static final int TASKS = 6;
    /** Out of the reach of any clock. */
    private static final long DISTANT_MS = Long.MAX_VALUE / 2;

    private final SimulatedCell cell = new SimulatedCell(1, WORKERS, 0);
    private Set<RunKey> runsBefore;

    @BeforeEach
    void startTasks() {
        cell.time.advance(3_000);
        cell.submit(SimulatedCell.tasks(TASKS, 1_000, false).toBuilder()
                .setLasting(true)
                .setMostPerWorker(TASKS / WORKERS)
                .build());
        cell.time.advance(1_000);
        runsBefore = Set.copyOf(cell.machine().runs().keySet());
        assertThat(runsBefore).hasSize(TASKS);
    }

    /** Reports something else about each worker, and expects that all runs go on where they are. */
    private void assertThatRunsGoOnAfter(UnaryOperator<WorkerProto.Builder> change) {
        for (int number = 0; number < WORKERS; number++) {
            cell.report(change.apply(cell.reportOf(number).toBuilder()).build());
        }
        cell.time.advance(20_000);

        assertThat(cell.violations).isEmpty();
        assertThat(cell.machine().runs().keySet()).containsExactlyElementsIn(runsBefore);
        assertThat(idsOfWorkers()).containsExactly("w0", "w1", "w2");
    }

    private Set<String> idsOfWorkers() {
        return cell.machine().workers().values().stream()
                .map(worker -> worker.info().getId())
                .collect(Collectors.toSet());
    }

    @Nested
    final class OtherIdAtTheAddressOfAWorker {
        /** Guards against the heartbeat of the review, which lacked a field. */
        @Test
        void shouldNotReplaceTheWorkerWithoutATimeOfStart() {
            assertThatRunsGoOnAfter(report -> report.setId("x" + report.getId()).clearBornMs());
        }

        @Test
        void shouldNotReplaceTheWorkerWithALaterTimeOfStart() {
            assertThatRunsGoOnAfter(report -> report.setId("x" + report.getId()).setBornMs(cell.time.nowMs()));
        }

        @Test
        void shouldNotReplaceTheWorkerWithATimeOfStartThatNoClockReaches() {
            assertThatRunsGoOnAfter(report -> report.setId("x" + report.getId()).setBornMs(DISTANT_MS));
        }

        @Test
        void shouldNotReplaceTheWorkerWithAPoolThatNoConfigurationNames() {
            assertThatRunsGoOnAfter(report -> report.setId("x" + report.getId())
                    .setBornMs(cell.time.nowMs())
                    .setPool("unnamed"));
        }

        /** Guards against taking the silence of a worker that is cut off for its end before its lease has expired. */
        @Test
        void shouldNotReplaceAWorkerThatIsCutOffForLessThanItsLease() {
            WorkerProto foreign = cell.reportOf(0).toBuilder()
                    .setId("x")
                    .setBornMs(cell.time.nowMs())
                    .build();
            cell.partition(0, 2_500);
            for (int repetition = 0; repetition < 5; repetition++) {
                cell.time.advance(400);
                cell.report(foreign);
            }
            cell.time.advance(20_000);

            assertThat(cell.violations).isEmpty();
            assertThat(cell.machine().runs().keySet()).containsExactlyElementsIn(runsBefore);
        }
    }

    @Nested
    final class IdOfAWorker {
        @Test
        void shouldNotReplaceTheWorkerWithALaterTimeOfStart() {
            assertThatRunsGoOnAfter(report -> report.setBornMs(DISTANT_MS));
        }

        @Test
        void shouldNotReplaceTheWorkerAtAnotherAddress() {
            assertThatRunsGoOnAfter(
                    report -> report.setBornMs(cell.time.nowMs()).setAddress("elsewhere:1"));
        }

        /** Guards against orders to an address that another writer names. */
        @Test
        void shouldNotMoveTheWorkerToAnotherAddress() {
            assertThatRunsGoOnAfter(
                    report -> report.setSequence(report.getSequence() + 1).setAddress("elsewhere:1"));
        }

        @Test
        void shouldNotMoveTheWorkerToAnotherPool() {
            assertThatRunsGoOnAfter(
                    report -> report.setSequence(report.getSequence() + 1).setPool("unnamed"));
        }

        /** Guards against a worker that gets no work any more, since all of its own reports count as late (LOST). */
        @Test
        void shouldKeepTheWorkerInUseAfterANumberThatItNeverReaches() {
            for (int number = 0; number < WORKERS; number++) {
                cell.report(cell.reportOf(number).toBuilder()
                        .setSequence(DISTANT_MS)
                        .setVersion("other")
                        .build());
            }
            cell.time.advance(10_000);

            assertThatNewTasksStart();
            assertThat(cell.machine().runs().keySet()).containsAtLeastElementsIn(runsBefore);
        }

        /** Guards against a worker that gets no work any more after its end was announced by another writer (LOST). */
        @Test
        void shouldKeepTheWorkerInUseThatReportsItselfAfterItsEndWasAnnounced() {
            for (int number = 0; number < WORKERS; number++) {
                cell.announceEnd(number);
            }
            cell.time.advance(5_000);

            assertThatNewTasksStart();
            assertThat(cell.machine().runs().keySet()).containsAtLeastElementsIn(runsBefore);
        }

        /** Guards against a worker whose own reports count as contradictions for good, since a foreign one came first. */
        @Test
        void shouldKeepTheWorkersInUseThatAnotherWriterDescribedFirst() {
            for (int number = 0; number < WORKERS; number++) {
                cell.crashWorkerAt(number);
            }
            cell.time.advance(3_001);
            for (int number = 0; number < WORKERS; number++) {
                cell.report(
                        cell.reportOf(number).toBuilder().setInstance("other").build());
            }
            cell.time.advance(20_000);

            assertThatNewTasksStart();
        }

        private void assertThatNewTasksStart() {
            String job = cell.submit(SimulatedCell.tasks(WORKERS, 100, false));
            cell.time.advance(5_000);

            assertThat(cell.job(job).state()).isEqualTo(GraphStateProto.GRAPH_COMPLETED);
            assertThat(cell.violations).isEmpty();
        }
    }

    @Nested
    final class Restarts {
        /** Guards against a worker that is never used again, since the proof of its restart is missing. */
        @Test
        void shouldStillBeNoticedAtOnce() {
            long bornBefore = cell.reportOf(0).getBornMs();
            cell.crashWorkerAt(0);
            cell.time.advance(3_000 + 1_600);

            WorkerProto known = cell.machine().workers().get("w0").info();
            assertThat(known.getBornMs()).isGreaterThan(bornBefore);
            assertThat(cell.machine().runs()).hasSize(TASKS);
            assertThat(cell.violations).isEmpty();
        }
    }
}
