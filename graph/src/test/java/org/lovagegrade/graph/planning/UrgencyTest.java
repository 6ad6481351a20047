package org.lovagegrade.graph.planning;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.StepProto;

final class UrgencyTest {
    private static final QueueProto QUEUE = QueueProto.newBuilder()
            .setName("q")
            .setSlackFactor(2)
            .setCompletionTargetMs(500)
            .build();

    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
    private JobRecord job;

    /** Two steps of 1 s and 2 s, one after the other: the objective is 2 x 3 s + 0.5 s = 6.5 s. */
    @BeforeEach
    void submitChain() {
        machine.apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId("j")
                        .setQueue("q")
                        .addSteps(StepProto.newBuilder().setCount(1).setEstimateMs(1_000))
                        .addSteps(StepProto.newBuilder()
                                .setCount(1)
                                .setEstimateMs(2_000)
                                .addAfter(0)))
                .build());
        job = machine.job("j").orElseThrow();
    }

    private Urgency urgencyAfter(long waitedMs) {
        return Urgency.of(job, 0, QUEUE, 10_000, 10_000 + waitedMs);
    }

    @Nested
    final class ChainOfSteps {
        @Test
        void shouldBeInTimeWhileRemainingEstimatesMeetObjective() {
            assertThat(urgencyAfter(3_500)).isEqualTo(Urgency.IN_TIME);
            assertThat(urgencyAfter(3_501)).isEqualTo(Urgency.LATE);
        }

        @Test
        void shouldBeOverdueBeyondThreeTimesObjective() {
            assertThat(urgencyAfter(16_500)).isEqualTo(Urgency.LATE);
            assertThat(urgencyAfter(16_501)).isEqualTo(Urgency.OVERDUE);
        }
    }
}
