package org.lovagegrade.graph.planning;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagegrade.wire.proto.AdviceCostProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.StepProto;

/**
 * Guards against accepted gangs that never start on a fleet that has become idle, whatever came before: overload,
 * lateness, lost questions, processes that vanish, wrong estimates, and queues with unusual settings.
 */
final class AcceptedJobsStartTest {
    private static final long LOAD_MS = 15_000;
    private static final long QUIET_MS = 600_000;
    private static final long MAX_RUN_MS = 4_000;
    private static final long WORKER_MILLI_CORES = 32_000;
    /** A job for which there is room twice over has to start within this time, besides its questions. */
    private static final long MAX_IDLE_MS = 3_000;
    /** A job may need a verdict, a second one after a denial, and a renewal of the tickets. */
    private static final int MAX_QUESTIONS = 3;

    private static double drawOf(Random random, double... values) {
        return values[random.nextInt(values.length)];
    }

    private static QueueProto queue(Random random, String name, int priority, double decideMs) {
        return QueueProto.newBuilder()
                .setName(name)
                .setPriority(priority)
                .setSlackFactor(drawOf(random, 0, 1, 2.2))
                .setCompletionTargetMs((long) drawOf(random, 0, 250, 1_000))
                .setAdvice(AdviceCostProto.newBuilder()
                        .setDecideMs(decideMs)
                        .setPerWorkerMs(drawOf(random, 0, 1, 5.2))
                        .setValidMs((long) drawOf(random, 500, 1_500, 5_000)))
                .build();
    }

    /** Plays overload and then quiet; each job fits on half of its allowed workers once they are empty. */
    private static final class Play {
        private final Random random;
        private final int workers;
        private final QuestionedFleet fleet;
        private final QueueProto gangs;
        private final QueueProto singles;
        private final double share;

        Play(long seed) {
            random = new Random(seed);
            workers = 20 + random.nextInt(230);
            fleet = new QuestionedFleet(random, workers, WORKER_MILLI_CORES, 4 + random.nextInt(30));
            gangs = queue(random, "gangs", 1, drawOf(random, 0, 10, 360, 3_000));
            singles = queue(random, "singles", 2, drawOf(random, 0, 10, 50));
            share = drawOf(random, 0.25, 0.5, 1);
        }

        void submitGang() {
            long milliCores = 3_000L + random.nextInt(12_000);
            Set<Integer> allowed = allowedWorkers();
            int fitting = (int) (allowed.size() * (WORKER_MILLI_CORES / milliCores));
            int members = Math.max(1, Math.min(2 + random.nextInt(80), fitting / 2));
            submit(gangs, step(members, milliCores).setGang(true), allowed);
        }

        void submitSingles() {
            submit(singles, step(1 + random.nextInt(20), 500 + random.nextInt(4_000)), allowedWorkers());
        }

        private void submit(QueueProto queue, StepProto.Builder step, Set<Integer> allowed) {
            long runMs = 300L + random.nextInt((int) MAX_RUN_MS - 300);
            double error = 0.2 + 1.8 * random.nextDouble();
            fleet.submit(queue, step.setEstimateMs((long) (runMs * error)).build(), allowed, runMs);
        }

        private static StepProto.Builder step(int count, long milliCores) {
            return StepProto.newBuilder()
                    .setCount(count)
                    .setPerTask(ResourcesProto.newBuilder().setMilliCores(milliCores));
        }

        private Set<Integer> allowedWorkers() {
            Set<Integer> allowed = IntStream.range(0, workers)
                    .filter(_worker -> random.nextDouble() < share)
                    .boxed()
                    .collect(Collectors.toSet());
            allowed.add(random.nextInt(workers));
            return allowed;
        }

        void overload() {
            fleet.setQuestionLoss(0.2);
            long endMs = fleet.nowMs() + LOAD_MS;
            while (fleet.nowMs() < endMs) {
                if (random.nextInt(5) == 0) {
                    submitGang();
                }
                if (random.nextInt(200) < workers) {
                    submitSingles();
                }
                fleet.advance();
            }
            fleet.setQuestionLoss(0);
            fleet.keepAskers(2);
            fleet.takeLongestWaitMs();
        }

        void quiet() {
            long endMs = fleet.nowMs() + QUIET_MS;
            while (fleet.nowMs() < endMs && fleet.waitingJobs() > 0) {
                fleet.advance();
            }
        }

        long maxWaitMs() {
            double questionMs = gangs.getAdvice().getDecideMs()
                    + workers * gangs.getAdvice().getPerWorkerMs();
            return (long) (MAX_RUN_MS + MAX_IDLE_MS + MAX_QUESTIONS * questionMs);
        }
    }

    @Nested
    final class AfterOverload {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
        void shouldStartEveryJobThatFits(long seed) {
            Play play = new Play(seed);
            play.overload();
            play.quiet();

            assertWithMessage("jobs that wait, seed %s", seed)
                    .that(play.fleet.waitingJobs())
                    .isEqualTo(0);
            assertWithMessage("longest time in ms without a start, seed %s", seed)
                    .that(play.fleet.takeLongestWaitMs())
                    .isAtMost(play.maxWaitMs());
        }
    }
}
