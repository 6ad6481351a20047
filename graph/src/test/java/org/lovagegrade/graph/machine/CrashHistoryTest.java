package org.lovagegrade.graph.machine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.RunLossProto;

final class CrashHistoryTest {
    private static final RunLossProto LATE_CRASH = RunLossProto.newBuilder()
            .setCountsAsCrash(true)
            .setSurvivedMs(3_000)
            .build();
    private static final RunLossProto SOON_CRASH = RunLossProto.newBuilder()
            .setCountsAsCrash(true)
            .setSoonAfterStart(true)
            .build();
    private static final RunLossProto COMMON_FAULT =
            RunLossProto.newBuilder().setSoonAfterStart(true).setIsolated(true).build();

    private static RunLossProto isolated(RunLossProto loss) {
        return loss.toBuilder().setIsolated(true).build();
    }

    private static CrashHistory after(RunLossProto... losses) {
        CrashHistory history = CrashHistory.NONE;
        for (int run = 1; run <= losses.length; run++) {
            history = history.plus(run, losses[run - 1]);
        }
        return history;
    }

    @Nested
    final class Suspicion {
        @Test
        void shouldFallOnATaskThatLostItsWorkerSoonAfterItsStart() {
            assertThat(after(SOON_CRASH).isSuspect()).isTrue();
        }

        @Test
        void shouldNotFallOnATaskThatHadRunForAWhile() {
            assertThat(after(LATE_CRASH).isSuspect()).isFalse();
        }

        @Test
        void shouldFallOnATaskThatLostTwoWorkers() {
            assertThat(after(LATE_CRASH, LATE_CRASH).isSuspect()).isTrue();
        }

        @Test
        void shouldRememberForHowLongARunLastedBeforeTheCrash() {
            assertThat(after(SOON_CRASH, LATE_CRASH, SOON_CRASH).longestSurvivalMs())
                    .isEqualTo(3_000);
        }

        @Test
        void shouldEndOnceARunHasLastedLong() {
            RunLossProto afterAnHour =
                    LATE_CRASH.toBuilder().setSurvivedMs(3_600_000).build();

            CrashHistory history = after(isolated(SOON_CRASH), LATE_CRASH, afterAnHour);

            assertThat(history.crashes()).isEqualTo(1);
            assertThat(history.isolatedCrashes()).isEqualTo(0);
            assertThat(history.isSuspect()).isFalse();
        }
    }

    @Nested
    final class GivingUp {
        @Test
        void shouldFollowTwoCrashesInIsolation() {
            assertThat(after(SOON_CRASH, isolated(SOON_CRASH)).mustBeGivenUp()).isFalse();
            assertThat(after(SOON_CRASH, isolated(SOON_CRASH), isolated(SOON_CRASH))
                            .mustBeGivenUp())
                    .isTrue();
        }

        @Test
        void shouldFollowForATaskThatCrashesItsWorkersAfterAWhile() {
            RunLossProto isolatedCrash = isolated(LATE_CRASH);

            assertThat(after(LATE_CRASH, LATE_CRASH, isolatedCrash).mustBeGivenUp())
                    .isFalse();
            assertThat(after(LATE_CRASH, LATE_CRASH, isolatedCrash, isolatedCrash)
                            .mustBeGivenUp())
                    .isTrue();
        }

        @Test
        void shouldFollowBeforeASixthStartWhateverTheOtherRunsWere() {
            assertThat(after(LATE_CRASH, LATE_CRASH, LATE_CRASH, LATE_CRASH).mustBeGivenUp())
                    .isFalse();
            assertThat(after(LATE_CRASH, LATE_CRASH, LATE_CRASH, LATE_CRASH, LATE_CRASH)
                            .mustBeGivenUp())
                    .isTrue();
        }

        @Test
        void shouldNotFollowFaultsThatWorkersHadInCommon() {
            CrashHistory history = after(
                    COMMON_FAULT, COMMON_FAULT, COMMON_FAULT, COMMON_FAULT, COMMON_FAULT, COMMON_FAULT, COMMON_FAULT);

            assertThat(history.crashes()).isEqualTo(0);
            assertThat(history.mustBeGivenUp()).isFalse();
        }

        @Test
        void shouldNotFollowTwoFaultsThatHitALargeTaskAloneOnItsWorker() {
            assertThat(after(isolated(LATE_CRASH), isolated(LATE_CRASH)).mustBeGivenUp())
                    .isFalse();
        }

        @Test
        void shouldCountARunOnceThatIsReportedAgain() {
            CrashHistory once = after(isolated(SOON_CRASH));

            assertThat(once.plus(1, isolated(SOON_CRASH))).isEqualTo(once);
        }
    }
}
