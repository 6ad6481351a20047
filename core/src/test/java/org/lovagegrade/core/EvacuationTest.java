package org.lovagegrade.core;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against starts on workers of an evacuated failure domain, by each of the ways in which tasks are placed. */
final class EvacuationTest {
    private static final long URGENT_TARGET_MS = 2_200;

    /** Two workers of 4 cores, "a" in domain "da" and "b" in "db". */
    private static CellDriver cell() {
        return new CellDriver(Policy.current())
                .worker("a", "da", 4, 65_536)
                .worker("b", "db", 4, 65_536)
                .workspace("norte", 0.5)
                .workspace("sur", 0.5)
                .workspace("este", 1)
                .workClass("urgent", ClassKind.BATCH, URGENT_TARGET_MS, 0)
                .workClass("batch", ClassKind.BATCH, 0, 0)
                .workClass("gang", ClassKind.GANG, 0, 0);
    }

    private static CellDriver evacuate(CellDriver cell, String domain) {
        return cell.apply(new Event.EvacuationSet(domain, true));
    }

    private static CellDriver end(CellDriver cell, String domain) {
        return cell.apply(new Event.EvacuationSet(domain, false));
    }

    private static List<String> workersOf(CellDriver cell, String job) {
        return cell.runningAttempts(job).stream().map(Attempt::worker).toList();
    }

    @Nested
    final class AnEvacuatedDomain {
        @Test
        void shouldGetNothingNewWhileWhatRunsThereContinues() {
            // given
            CellDriver cell = cell().submit("before", "norte", "batch", 8, 1).advanceTo(0);

            // when
            evacuate(cell, "da").submit("after", "sur", "batch", 4, 1).advanceTo(1_000);

            // then
            assertThat(cell.runningTasks("before")).isEqualTo(8);
            assertThat(cell.runningTasks("after")).isEqualTo(0);
        }

        @Test
        void shouldNotBeUsedWhenItsTasksEnd() {
            // given
            CellDriver cell = cell().submit("before", "norte", "batch", 8, 1)
                    .runDuration("before", 500)
                    .advanceTo(0);

            // when
            evacuate(cell, "da").submit("after", "sur", "batch", 8, 1).advanceTo(1_000);

            // then
            assertThat(workersOf(cell, "after")).containsExactly("b", "b", "b", "b");
        }

        @Test
        void shouldNotBeUsedByGangs() {
            // given
            CellDriver cell = evacuate(cell(), "da");

            // when
            cell.submit("wide", "norte", "gang", 8, 1)
                    .submit("narrow", "norte", "gang", 4, 1)
                    .advanceTo(60_000);

            // then
            assertThat(workersOf(cell, "narrow")).containsExactly("b", "b", "b", "b");
            assertThat(cell.decisions(Action.PLACE, "wide")).isEmpty();
        }

        @Test
        void shouldNotLoseTasksToPreemption() {
            // given
            CellDriver cell = cell().submit("filler", "norte", "batch", 8, 1).advanceTo(0);

            // when
            evacuate(cell, "da").submit("urgent", "sur", "urgent", 6, 1).advanceTo(URGENT_TARGET_MS);

            // then
            assertThat(workersOf(cell, "urgent")).containsExactly("b", "b", "b", "b");
            assertThat(workersOf(cell, "filler")).containsExactly("a", "a", "a", "a");
        }

        @Test
        void shouldGetNoProbes() {
            // given: three failures make a worker suspect, which then gets probes
            CellDriver cell = cell();
            for (int i = 0; i < 3; i++) {
                cell.submit("fails-" + i, "norte", "batch", 1, 4).advanceTo(cell.nowMs() + 1);
                cell.runningAttempts("fails-" + i).forEach(attempt -> cell.apply(new Event.AttemptFailed(attempt)));
                cell.apply(new Event.JobCancelled("fails-" + i)).advanceTo(cell.nowMs() + 1);
            }
            String suspect = cell.decisions(Action.FAIL).get(0).worker();

            // when
            evacuate(cell, "d" + suspect)
                    .submit("waits", "norte", "batch", 8, 1)
                    .advanceTo(60_000);

            // then
            assertThat(cell.decisions(Action.PLACE).stream().filter(placed -> placed.reason() == Reason.PROBE))
                    .isEmpty();
            assertThat(cell.runningTasks("waits")).isEqualTo(4);
        }

        @Test
        void shouldStayEvacuatedWhenItsWorkersRestartOrAreNew() {
            // given
            CellDriver cell = evacuate(cell(), "da");

            // when
            cell.worker("a", "da", 4, 65_536)
                    .worker("a2", "da", 4, 65_536)
                    .submit("job", "norte", "batch", 12, 1)
                    .advanceTo(1_000);

            // then
            assertThat(workersOf(cell, "job")).containsExactly("b", "b", "b", "b");
        }

        @Test
        void shouldNotCountTowardTheCapacityThatSharesArePartsOf() {
            // when
            CellDriver cell = evacuate(cell(), "da");

            // then
            assertThat(cell.scheduler().view().responsiveCapacity().milliCores())
                    .isEqualTo(4 * Resources.MILLI_CORES_PER_CORE);
        }
    }

    @Nested
    final class AReservation {
        @Test
        void shouldBeChosenAnewIfPartOfItIsEvacuated() {
            // given: a gang that needs two of three workers has reserved "a" and "b"
            CellDriver cell = cell().worker("c", "dc", 4, 65_536)
                    .submit("left", "norte", "batch", 1, 3)
                    .submit("right", "norte", "batch", 1, 3)
                    .submit("middle", "norte", "batch", 1, 3)
                    .runDuration("left", 30_000)
                    .runDuration("right", 30_000)
                    .runDuration("middle", 30_000)
                    .advanceTo(0);
            cell.submit("gang", "este", "gang", 2, 4).advanceTo(10_000);

            // when: small work competes for whatever is not reserved
            evacuate(cell, "da").advanceTo(12_000);
            for (int i = 0; i < 200; i++) {
                cell.submit("small-" + i, "norte", "batch", 1, 1).runDuration("small-" + i, 3_000);
            }
            cell.advanceTo(40_000);

            // then
            assertThat(workersOf(cell, "gang")).containsExactly("b", "c");
        }
    }

    @Nested
    final class AReturnedDomain {
        @Test
        void shouldBeUsedAtOnce() {
            // given
            CellDriver cell =
                    evacuate(cell(), "da").submit("job", "norte", "batch", 8, 1).advanceTo(1_000);

            // when
            end(cell, "da").advanceTo(1_000);

            // then
            assertThat(cell.runningTasks("job")).isEqualTo(8);
        }

        @Test
        void shouldLeaveOtherDomainsEvacuated() {
            // given
            CellDriver cell = evacuate(evacuate(cell(), "da"), "db");

            // when
            end(cell, "db").submit("job", "norte", "batch", 8, 1).advanceTo(1_000);

            // then
            assertThat(workersOf(cell, "job")).containsExactly("b", "b", "b", "b");
        }
    }
}
