package org.lovagegrade.graph.advice;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;
import org.lovagegrade.wire.proto.AdviceTicketProto;

final class AdviceBrokerTest {
    private static final double QUICK_MS = 20;
    private static final double SLOW_MS = 900;

    private final List<SettledQuestion> settled = new ArrayList<>();
    private final AdviceBroker broker = new AdviceBroker(1, settled::add, Metrics.create());
    private final List<AdviceQuestionProto> received = new ArrayList<>();

    private static QuestionWish wish(String step, int priority, double costMs, String... workers) {
        return wish(step, new QuestionRank(QuestionPurpose.START, priority, false, 1), costMs, workers);
    }

    private static QuestionWish wish(String step, QuestionRank rank, double costMs, String... workers) {
        return new QuestionWish(step, "q", List.of(workers), rank, costMs);
    }

    private void request(long nowMs, QuestionWish... wishes) {
        broker.replaceQueue(List.of(wishes), nowMs);
    }

    private void poll(String caller, long nowMs) {
        broker.poll(caller, List.of(), received::addAll, nowMs);
    }

    private void answer(String caller, long number, long nowMs, String... allowed) {
        AdviceResultProto.Builder result = AdviceResultProto.newBuilder()
                .setNumber(number)
                .setAnswered(true)
                .setValidMs(2_000);
        for (String worker : allowed) {
            result.addAllowed(AdviceTicketProto.newBuilder().setWorker(worker).setTicket("t-" + worker));
        }
        broker.poll(caller, List.of(result.build()), received::addAll, nowMs);
    }

    @Nested
    final class Questions {
        @Test
        void shouldBeSentToOpenPollAtOnce() {
            poll("entry-1", 0);

            request(10, wish("j.0.0", 0, QUICK_MS, "w1", "w2"));

            assertThat(received).hasSize(1);
            assertThat(received.get(0).getWorkersList()).containsExactly("w1", "w2");
        }

        @Test
        void shouldBeSentInOrderOfPriority() {
            request(0, wish("later.0.0", 2, QUICK_MS, "w1"), wish("urgent.0.0", 0, QUICK_MS, "w1"));

            poll("entry-1", 2);

            assertThat(received.get(0).getStep()).isEqualTo("urgent.0.0");
        }

        /** Guards against the adviser's time spent on workers that get no starts, and a step that waits for it. */
        @Test
        void shouldNotNameWorkersThatWereExcludedBeforeTheyAreSent() {
            request(0, wish("both.0.0", 0, QUICK_MS, "w1", "w2"), wish("excluded.0.0", 0, QUICK_MS, "w1"));

            broker.excludeFromQueuedQuestions("w1"::equals);
            poll("entry-1", 2);
            poll("entry-2", 2);

            assertThat(received).hasSize(1);
            assertThat(received.get(0).getWorkersList()).containsExactly("w2");
            assertThat(broker.isPending("both.0.0")).isTrue();
            assertThat(broker.isPending("excluded.0.0")).isFalse();
        }

        @Test
        void shouldReserveProcessesForQuickOnes() {
            for (int caller = 0; caller < 5; caller++) {
                poll("entry-" + caller, 0);
            }
            QuestionWish[] slow = IntStream.range(0, 5)
                    .mapToObj(job -> wish("slow" + job + ".0.0", 0, SLOW_MS, "w1"))
                    .toArray(QuestionWish[]::new);
            request(1, slow);
            assertThat(received).hasSize(3);

            request(2, wish("quick.0.0", 2, QUICK_MS, "w1"));

            assertThat(received).hasSize(4);
            assertThat(received.get(3).getStep()).isEqualTo("quick.0.0");
        }

        /** Guards against adviser time spent on late or useless work while other work could still be in time. */
        @Test
        void shouldBeOrderedByUsePriorityTimelinessAndCostOfDelay() {
            request(
                    0,
                    wish("useless.0.0", new QuestionRank(QuestionPurpose.OVERDUE_START, 0, true, 9), QUICK_MS, "w1"),
                    wish("cheap.0.0", new QuestionRank(QuestionPurpose.START, 1, false, 1), QUICK_MS, "w1"),
                    wish("late.0.0", new QuestionRank(QuestionPurpose.START, 1, true, 9), QUICK_MS, "w1"),
                    wish("costly.0.0", new QuestionRank(QuestionPurpose.START, 1, false, 2), QUICK_MS, "w1"));

            for (int caller = 0; caller < 4; caller++) {
                poll("entry-" + caller, 1);
            }

            assertThat(received.stream().map(AdviceQuestionProto::getStep))
                    .containsExactly("costly.0.0", "cheap.0.0", "late.0.0", "useless.0.0")
                    .inOrder();
        }

        /** Guards against stale questions: a step may have started, or its workers may be taken, while it waits. */
        @Test
        void shouldFollowLatestPlanUntilSent() {
            request(0, wish("gone.0.0", 0, QUICK_MS, "w1"), wish("j.0.0", 1, QUICK_MS, "w1"));
            request(4, wish("j.0.0", 1, QUICK_MS, "w2"));

            poll("entry-1", 5);

            assertThat(received).hasSize(1);
            assertThat(received.get(0).getWorkersList()).containsExactly("w2");
        }

        /** Guards against background questions occupying all processes during an overload. */
        @Test
        void shouldOccupyFewProcessesInBackground() {
            QuestionRank useless = new QuestionRank(QuestionPurpose.OVERDUE_START, 0, true, 1);
            poll("entry-1", 0);
            poll("entry-2", 0);

            request(1, wish("a.0.0", useless, QUICK_MS, "w1"), wish("b.0.0", useless, QUICK_MS, "w1"));

            assertThat(received).hasSize(1);
        }

        @Test
        void shouldTimeOutWithoutAnswer() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1"));

            broker.tick(10_000);

            assertThat(broker.isPending("j.0.0")).isFalse();
        }
    }

    @Nested
    final class Answers {
        @Test
        void shouldDistinguishAllowedFromDeniedWorkers() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1", "w2"));

            answer("entry-1", 1, 100, "w1");

            assertThat(broker.verdict("j.0.0", "w1", 100)).isEqualTo(Verdict.ALLOWED);
            assertThat(broker.verdict("j.0.0", "w2", 100)).isEqualTo(Verdict.DENIED);
            assertThat(broker.verdict("j.0.0", "w3", 100)).isEqualTo(Verdict.UNKNOWN);
            assertThat(broker.ticket("j.0.0", "w1")).isEqualTo("t-w1");
        }

        @Test
        void shouldExpireAheadOfAdvisersValidity() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1"));
            answer("entry-1", 1, 100, "w1");

            assertThat(broker.verdict("j.0.0", "w1", 1_800)).isEqualTo(Verdict.ALLOWED);
            assertThat(broker.verdict("j.0.0", "w1", 1_950)).isEqualTo(Verdict.STALE);
        }

        @Test
        void shouldMeasureAllowedShareOfNewVerdictsOnly() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1", "w2", "w3", "w4"));
            answer("entry-1", 1, 100, "w1");
            request(2_000, wish("j.0.0", 0, QUICK_MS, "w1"));
            answer("entry-1", 2, 2_100, "w1");

            assertThat(broker.allowedShare("q")).isWithin(0.001).of(2.0 / 6);
            assertThat(broker.allowedShare("other")).isWithin(0.001).of(0.5);
        }

        @Test
        void shouldBeForgottenWithWorker() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1"));
            answer("entry-1", 1, 100, "w1");

            broker.forgetWorker("w1");

            assertThat(broker.verdict("j.0.0", "w1", 100)).isEqualTo(Verdict.UNKNOWN);
        }
    }

    @Nested
    final class Failures {
        /** Guards against a frozen process that keeps its question, and against losing an answer that comes late. */
        @Test
        void shouldReissueQuestionOfSilentProcessAndAcceptItsLateAnswer() {
            poll("frozen", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1", "w2"));
            poll("entry-2", 10);

            assertThat(broker.tick(500)).isTrue();
            request(500, wish("j.0.0", 0, QUICK_MS, "w1"));

            assertThat(received).hasSize(2);
            answer("frozen", 1, 600, "w2");
            assertThat(broker.verdict("j.0.0", "w2", 600)).isEqualTo(Verdict.ALLOWED);
            assertThat(broker.isPending("j.0.0")).isTrue();
        }

        /** Guards against waiting for the timeout of a question whose delivery failed. */
        @Test
        void shouldReissueQuestionIfProcessPollsWithoutResult() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, SLOW_MS, "w1"));

            assertThat(broker.poll("entry-1", List.of(), received::addAll, 50)).isTrue();
            request(51, wish("j.0.0", 0, SLOW_MS, "w1"));

            assertThat(received).hasSize(2);
        }

        /** Guards against a loop of refused questions: the adviser answers 429 while too many calls wait. */
        @Test
        void shouldRestProcessWhoseQuestionFailed() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1"));
            AdviceResultProto failed =
                    AdviceResultProto.newBuilder().setNumber(1).build();

            broker.poll("entry-1", List.of(failed), received::addAll, 10);
            request(11, wish("j.0.0", 0, QUICK_MS, "w1"));
            assertThat(received).hasSize(1);

            broker.tick(120);
            assertThat(received).hasSize(2);
        }

        /** Guards against questions to an overloaded process while others are free. */
        @Test
        void shouldPreferProcessThatAnswersInTime() {
            poll("slow", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1"));
            answer("slow", 1, 300, "w1");
            poll("quick", 301);

            List<AdviceQuestionProto> quick = new ArrayList<>();
            broker.poll("quick", List.of(), quick::addAll, 302);
            request(303, wish("k.0.0", 0, QUICK_MS, "w1"));

            assertThat(quick).hasSize(1);
        }

        /** Guards against denying a restarted worker for the answer about its earlier incarnation. */
        @Test
        void shouldNotApplyAnswerToNextIncarnation() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1", "w2"));

            broker.forgetWorker("w1");
            answer("entry-1", 1, 20, "w2");

            assertThat(broker.verdict("j.0.0", "w1", 20)).isEqualTo(Verdict.UNKNOWN);
            assertThat(broker.verdict("j.0.0", "w2", 20)).isEqualTo(Verdict.ALLOWED);
        }

        /** Guards against a malformed answer, and against one to a question of an earlier leader. */
        @Test
        void shouldIgnoreWorkersAndQuestionsThatWereNotAskedAbout() {
            poll("entry-1", 0);
            request(0, wish("j.0.0", 0, QUICK_MS, "w1"));

            answer("entry-1", 7, 10, "w1");
            answer("entry-1", 1, 20, "w9");

            assertThat(broker.verdict("j.0.0", "w1", 20)).isEqualTo(Verdict.DENIED);
            assertThat(broker.verdict("j.0.0", "w9", 20)).isEqualTo(Verdict.UNKNOWN);
        }
    }

    @Nested
    final class Polls {
        @Test
        void shouldReturnEmptyAfterTimeout() {
            List<List<AdviceQuestionProto>> replies = new ArrayList<>();
            broker.poll("entry-1", List.of(), replies::add, 0);

            broker.tick(2_000);

            assertThat(replies).containsExactly(List.of());
        }
    }

    /** Guards against the adviser's time that is missing in the account, above all of questions without an answer. */
    @Nested
    final class Cost {
        @Test
        void shouldBeReportedForAnAnswer() {
            poll("entry-1", 0);
            request(10, wish("j.0.0", 0, QUICK_MS, "w1", "w2"));

            answer("entry-1", received.get(0).getNumber(), 40, "w2");

            assertThat(settled).containsExactly(new SettledQuestion("j.0.0", 2, 1, true, 30));
        }

        @Test
        void shouldBeReportedForAQuestionThatTimesOut() {
            poll("entry-1", 0);
            request(10, wish("j.0.0", 0, QUICK_MS, "w1"));

            broker.tick(9_010);

            assertThat(settled).containsExactly(new SettledQuestion("j.0.0", 1, 0, false, 9_000));
        }
    }
}
