package org.lovagegrade.graph.advice;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;
import org.lovagegrade.wire.proto.AdviceTicketProto;

final class AdviceBrokerTest {
    private static final double QUICK_MS = 20;
    private static final double SLOW_MS = 900;

    private final AdviceBroker board = new AdviceBroker();
    private final List<AdviceQuestionProto> asked = new ArrayList<>();

    private void offer(String caller, long nowMs) {
        board.poll(caller, List.of(), asked::addAll, nowMs);
    }

    private void answer(String caller, long number, long nowMs, String... allowed) {
        AdviceResultProto.Builder result = AdviceResultProto.newBuilder()
                .setNumber(number)
                .setAnswered(true)
                .setValidMs(2_000);
        for (String worker : allowed) {
            result.addAllowed(AdviceTicketProto.newBuilder().setWorker(worker).setTicket("t-" + worker));
        }
        board.poll(caller, List.of(result.build()), asked::addAll, nowMs);
    }

    @Nested
    final class Questions {
        @Test
        void shouldGoToAWaitingProcessAtOnce() {
            offer("entry-1", 0);

            board.request("j.0.0", List.of("w1", "w2"), 0, QUICK_MS, 10);

            assertThat(asked).hasSize(1);
            assertThat(asked.get(0).getWorkersList()).containsExactly("w1", "w2");
        }

        @Test
        void shouldGoOutInTheOrderOfPriority() {
            board.request("later.0.0", List.of("w1"), 2, QUICK_MS, 0);
            board.request("urgent.0.0", List.of("w1"), 0, QUICK_MS, 1);

            offer("entry-1", 2);

            assertThat(asked.get(0).getStep()).isEqualTo("urgent.0.0");
        }

        @Test
        void shouldLeaveProcessesForQuickOnesWhenSlowOnesQueue() {
            for (int caller = 0; caller < 5; caller++) {
                offer("entry-" + caller, 0);
            }
            for (int job = 0; job < 5; job++) {
                board.request("slow" + job + ".0.0", List.of("w1"), 0, SLOW_MS, 1);
            }
            assertThat(asked).hasSize(3);

            board.request("quick.0.0", List.of("w1"), 2, QUICK_MS, 2);

            assertThat(asked).hasSize(4);
            assertThat(asked.get(3).getStep()).isEqualTo("quick.0.0");
        }

        @Test
        void shouldBeAskedAgainWhenNoAnswerComes() {
            offer("entry-1", 0);
            board.request("j.0.0", List.of("w1"), 0, QUICK_MS, 0);

            board.tick(10_000);

            assertThat(board.isPending("j.0.0")).isFalse();
        }
    }

    @Nested
    final class Answers {
        @Test
        void shouldTellAllowedFromDeniedWorkers() {
            offer("entry-1", 0);
            board.request("j.0.0", List.of("w1", "w2"), 0, QUICK_MS, 0);

            answer("entry-1", 1, 100, "w1");

            assertThat(board.verdict("j.0.0", "w1", 100)).isEqualTo(Verdict.ALLOWED);
            assertThat(board.verdict("j.0.0", "w2", 100)).isEqualTo(Verdict.DENIED);
            assertThat(board.verdict("j.0.0", "w3", 100)).isEqualTo(Verdict.UNKNOWN);
            assertThat(board.ticket("j.0.0", "w1")).isEqualTo("t-w1");
        }

        @Test
        void shouldRunOutBeforeTheAdviserSaysSo() {
            offer("entry-1", 0);
            board.request("j.0.0", List.of("w1"), 0, QUICK_MS, 0);
            answer("entry-1", 1, 100, "w1");

            assertThat(board.verdict("j.0.0", "w1", 1_800)).isEqualTo(Verdict.ALLOWED);
            assertThat(board.verdict("j.0.0", "w1", 1_950)).isEqualTo(Verdict.STALE);
        }

        @Test
        void shouldBeForgottenWithTheLifeOfAWorker() {
            offer("entry-1", 0);
            board.request("j.0.0", List.of("w1"), 0, QUICK_MS, 0);
            answer("entry-1", 1, 100, "w1");

            board.forgetWorker("w1");

            assertThat(board.verdict("j.0.0", "w1", 100)).isEqualTo(Verdict.UNKNOWN);
        }
    }

    @Nested
    final class Offers {
        @Test
        void shouldBeGivenBackAfterAWhile() {
            List<List<AdviceQuestionProto>> replies = new ArrayList<>();
            board.poll("entry-1", List.of(), replies::add, 0);

            board.tick(2_000);

            assertThat(replies).containsExactly(List.of());
        }
    }
}
