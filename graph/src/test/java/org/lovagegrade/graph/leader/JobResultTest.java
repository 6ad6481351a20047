package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.StepProto;

/** Guards against an account of service that differs from the objective by which the planner orders work. */
final class JobResultTest {
    private static final QueueProto QUEUE =
            QueueProto.newBuilder().setSlackFactor(2).setCompletionTargetMs(500).build();

    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000_000);

    /** A job that was accepted at 10,000 ms, with a critical path of 1,000 ms and an objective of 2,500 ms. */
    private JobRecord job() {
        machine.apply(GraphCommandProto.newBuilder()
                .setAtMs(10_000)
                .setSubmit(GraphProto.newBuilder()
                        .setId("j")
                        .addSteps(StepProto.newBuilder().setEstimateMs(1_000)))
                .build());
        return machine.job("j").orElseThrow();
    }

    /** The result of a job without tasks, whose critical path is empty, after the given time. */
    private static JobResult after(JobRecord job, long tookMs) {
        return JobResult.of(job, Optional.of(QUEUE), 10_000 + tookMs);
    }

    @Nested
    final class OfCompletedJobs {
        @Test
        void shouldFollowTheObjective() {
            JobRecord job = job();

            assertThat(after(job, 2_500)).isEqualTo(JobResult.IN_TIME);
            assertThat(after(job, 2_501)).isEqualTo(JobResult.LATE);
            assertThat(after(job, 7_500)).isEqualTo(JobResult.LATE);
            assertThat(after(job, 7_501)).isEqualTo(JobResult.USELESS);
        }

        @Test
        void shouldBeInTimeWithoutAnObjective() {
            assertThat(JobResult.of(job(), Optional.of(QueueProto.getDefaultInstance()), 99_000_000))
                    .isEqualTo(JobResult.IN_TIME);
        }
    }

    @Nested
    final class OfOtherJobs {
        @Test
        void shouldBeCancelledAlsoWithinTheObjective() {
            JobRecord job = job();
            machine.apply(GraphCommandProto.newBuilder().setCancel("j").build());

            assertThat(after(job, 10)).isEqualTo(JobResult.CANCELLED);
        }
    }
}
