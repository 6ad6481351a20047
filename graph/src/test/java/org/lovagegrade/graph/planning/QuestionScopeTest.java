package org.lovagegrade.graph.planning;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.wire.proto.AdviceCostProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Figures of a deployment in which the adviser's time is short. */
final class QuestionScopeTest {
    private static final AdviceCostProto GANG = cost(559, 8.06);
    private static final AdviceCostProto URGENT = cost(14.3, 0.21);
    private static final double GANG_SHARE = 0.3;

    private static AdviceCostProto cost(double decideMs, double perWorkerMs) {
        return AdviceCostProto.newBuilder()
                .setDecideMs(decideMs)
                .setPerWorkerMs(perWorkerMs)
                .build();
    }

    private static List<TicketOption> options(int count, int tasks, double probability) {
        List<TicketOption> options = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            WorkerProto info = WorkerProto.newBuilder().setId("w" + index).build();
            options.add(new TicketOption(new CandidateWorker(info, ResourceVector.NONE), tasks, probability, false));
        }
        return options;
    }

    @Nested
    final class Gangs {
        /** Guards against a second question of 0.8 s for want of a few workers at 8 ms each. */
        @Test
        void shouldNameEnoughWorkersForAllMembers() {
            QuestionScope scope = QuestionScope.best(options(245, 3, GANG_SHARE), 0, 20, true, GANG)
                    .orElseThrow();

            assertThat(scope.yield()).isAtLeast(0.9);
            assertThat(scope.options().size()).isAtMost(45);
        }

        @Test
        void shouldNameOnlyNeededWorkersThatWereAllowedBefore() {
            List<TicketOption> options = options(10, 3, 1);
            options.addAll(options(200, 3, GANG_SHARE));

            QuestionScope scope = QuestionScope.best(options, 6, 20, true, GANG).orElseThrow();

            assertThat(scope.options()).hasSize(5);
            assertThat(scope.yield()).isWithin(0.001).of(1);
        }

        @Test
        void shouldBeNothingForGangThatDoesNotFit() {
            assertThat(QuestionScope.best(options(6, 3, GANG_SHARE), 0, 20, true, GANG))
                    .isEmpty();
        }
    }

    /** Load pattern: a busy fleet, on which the few workers that are known to be allowed are seldom free together. */
    @Nested
    final class GangsOnBusyFleet {
        @Test
        void shouldLearnVerdictsOfBusyWorkersWhileTheyAreCheap() {
            QuestionScope scope =
                    QuestionScope.best(options(10, 3, 0.5), 0, 6, true, GANG).orElseThrow();
            QuestionScope learning = scope.learning(() -> options(200, 3, GANG_SHARE), GANG);

            assertThat(learning.options().size()).isGreaterThan(scope.options().size());
            assertThat(learning.options().size() * GANG.getPerWorkerMs()).isAtMost(0.5 * GANG.getDecideMs());
            assertThat(learning.yield()).isEqualTo(scope.yield());
        }

        @Test
        void shouldLearnNothingMoreIfKnownWorkersSuffice() {
            QuestionScope scope =
                    QuestionScope.best(options(10, 3, 1), 0, 6, true, GANG).orElseThrow();

            assertThat(scope.learning(() -> options(200, 3, GANG_SHARE), GANG).options())
                    .hasSize(2);
        }

        @Test
        void shouldLearnNothingMoreInLargeQuestion() {
            QuestionScope scope = QuestionScope.best(options(245, 3, GANG_SHARE), 0, 20, true, GANG)
                    .orElseThrow();

            assertThat(scope.learning(() -> options(200, 3, GANG_SHARE), GANG).options())
                    .hasSize(scope.options().size());
        }

        @Test
        void shouldStayWithinRequestOfAdviserThatChargesNothingPerWorker() {
            QuestionScope scope = QuestionScope.best(options(10, 3, 0.5), 0, 6, true, cost(100, 0))
                    .orElseThrow();

            assertThat(scope.learning(() -> options(200, 3, GANG_SHARE), cost(100, 0))
                            .options())
                    .hasSize(QuestionScope.MAX_WORKERS);
        }
    }

    @Nested
    final class SingleTasks {
        @Test
        void shouldNameSomeMoreWorkersWhileTheyAreCheap() {
            QuestionScope scope = QuestionScope.best(options(245, 3, 0.7), 0, 3, false, URGENT)
                    .orElseThrow();

            assertThat(scope.options().size()).isAtLeast(4);
            assertThat(scope.options().size()).isAtMost(10);
        }

        @Test
        void shouldNameFewWorkersThatFitSomeTasks() {
            QuestionScope scope = QuestionScope.best(options(2, 1, 0.45), 0, 25, false, cost(156, 2.34))
                    .orElseThrow();

            assertThat(scope.options()).hasSize(2);
        }
    }
}
