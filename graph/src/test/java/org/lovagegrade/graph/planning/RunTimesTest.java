package org.lovagegrade.graph.planning;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.StepProto;

final class RunTimesTest {
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
    private final RunTimes runTimes = new RunTimes();

    private StepRecord step(String job, String queue, long estimateMs) {
        machine.apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId(job)
                        .setQueue(queue)
                        .addSteps(StepProto.newBuilder().setCount(1).setEstimateMs(estimateMs)))
                .build());
        return machine.job(job).orElseThrow().step(0, 0);
    }

    private void record(StepRecord step, long actualMs, int times) {
        for (int run = 0; run < times; run++) {
            runTimes.record(step, actualMs);
        }
    }

    /** Guards against predictions that follow callers whose estimates are always too low. */
    @Test
    void shouldCorrectEstimatesByTheRatioOfTheirQueue() {
        record(step("a", "low", 1_000), 1_500, 20);

        assertThat(runTimes.expectedMs(step("b", "low", 2_000))).isEqualTo(3_000);
        assertThat(runTimes.expectedMs(step("c", "other", 2_000))).isEqualTo(2_000);
    }

    @Test
    void shouldFollowAChangedRatio() {
        StepRecord step = step("a", "q", 1_000);
        record(step, 1_800, 100);
        record(step, 1_000, 200);

        assertThat((double) runTimes.expectedMs(step)).isWithin(30.0).of(1_000);
    }

    @Test
    void shouldBoundTheCorrection() {
        StepRecord step = step("a", "q", 1_000);
        record(step, 60_000, 100);

        assertThat(runTimes.expectedMs(step)).isEqualTo(2_000);
    }

    @Test
    void shouldNotCorrectByFewRuns() {
        StepRecord step = step("a", "q", 1_000);
        record(step, 1_900, 3);

        assertThat(runTimes.expectedMs(step)).isEqualTo(1_000);
    }

    @Test
    void shouldBeUnknownWithoutAnEstimate() {
        assertThat(runTimes.expectedMs(step("a", "q", 0))).isEqualTo(CapacityRelease.UNKNOWN);
    }
}
