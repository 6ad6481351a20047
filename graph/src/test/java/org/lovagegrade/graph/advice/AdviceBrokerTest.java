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

    private final AdviceBroker broker = new AdviceBroker();
    private final List<AdviceQuestionProto> received = new ArrayList<>();

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

            broker.request("j.0.0", List.of("w1", "w2"), 0, QUICK_MS, 10);

            assertThat(received).hasSize(1);
            assertThat(received.get(0).getWorkersList()).containsExactly("w1", "w2");
        }

        @Test
        void shouldBeSentInOrderOfPriority() {
            broker.request("later.0.0", List.of("w1"), 2, QUICK_MS, 0);
            broker.request("urgent.0.0", List.of("w1"), 0, QUICK_MS, 1);

            poll("entry-1", 2);

            assertThat(received.get(0).getStep()).isEqualTo("urgent.0.0");
        }

        /** Guards against the adviser's time spent on workers that get no starts, and a step that waits for it. */
        @Test
        void shouldNotNameWorkersThatWereExcludedBeforeTheyAreSent() {
            broker.request("both.0.0", List.of("w1", "w2"), 0, QUICK_MS, 0);
            broker.request("excluded.0.0", List.of("w1"), 0, QUICK_MS, 0);

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
            for (int job = 0; job < 5; job++) {
                broker.request("slow" + job + ".0.0", List.of("w1"), 0, SLOW_MS, 1);
            }
            assertThat(received).hasSize(3);

            broker.request("quick.0.0", List.of("w1"), 2, QUICK_MS, 2);

            assertThat(received).hasSize(4);
            assertThat(received.get(3).getStep()).isEqualTo("quick.0.0");
        }

        @Test
        void shouldTimeOutWithoutAnswer() {
            poll("entry-1", 0);
            broker.request("j.0.0", List.of("w1"), 0, QUICK_MS, 0);

            broker.tick(10_000);

            assertThat(broker.isPending("j.0.0")).isFalse();
        }
    }

    @Nested
    final class Answers {
        @Test
        void shouldDistinguishAllowedFromDeniedWorkers() {
            poll("entry-1", 0);
            broker.request("j.0.0", List.of("w1", "w2"), 0, QUICK_MS, 0);

            answer("entry-1", 1, 100, "w1");

            assertThat(broker.verdict("j.0.0", "w1", 100)).isEqualTo(Verdict.ALLOWED);
            assertThat(broker.verdict("j.0.0", "w2", 100)).isEqualTo(Verdict.DENIED);
            assertThat(broker.verdict("j.0.0", "w3", 100)).isEqualTo(Verdict.UNKNOWN);
            assertThat(broker.ticket("j.0.0", "w1")).isEqualTo("t-w1");
        }

        @Test
        void shouldExpireAheadOfAdvisersValidity() {
            poll("entry-1", 0);
            broker.request("j.0.0", List.of("w1"), 0, QUICK_MS, 0);
            answer("entry-1", 1, 100, "w1");

            assertThat(broker.verdict("j.0.0", "w1", 1_800)).isEqualTo(Verdict.ALLOWED);
            assertThat(broker.verdict("j.0.0", "w1", 1_950)).isEqualTo(Verdict.STALE);
        }

        @Test
        void shouldBeForgottenWithWorker() {
            poll("entry-1", 0);
            broker.request("j.0.0", List.of("w1"), 0, QUICK_MS, 0);
            answer("entry-1", 1, 100, "w1");

            broker.forgetWorker("w1");

            assertThat(broker.verdict("j.0.0", "w1", 100)).isEqualTo(Verdict.UNKNOWN);
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
}
