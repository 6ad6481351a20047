package org.lovagegrade.graph.planning;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RemainingWork;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.StepProto;

final class PlanOrderTest {
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
    private final List<StepDemand> demands = new ArrayList<>();

    @BeforeEach
    void submitJobs() {
        machine.apply(GraphCommandProto.newBuilder()
                .setConfigure(FleetDocumentProto.newBuilder().setVersion(1).setSource(ByteString.copyFromUtf8("x")))
                .build());
        addDemand("early-late", 1, Urgency.LATE, 100, "busy");
        addDemand("middle", 1, Urgency.IN_TIME, 200, "idle");
        addDemand("last-urgent", 0, Urgency.IN_TIME, 300, "busy");
    }

    private void addDemand(String job, int priority, Urgency urgency, long dueAtMs, String workspace) {
        machine.apply(GraphCommandProto.newBuilder()
                .setSubmit(GraphProto.newBuilder()
                        .setId(job)
                        .setWorkspace(workspace)
                        .addSteps(StepProto.newBuilder().setCount(1)))
                .build());
        demands.add(new StepDemand(
                machine.job(job).orElseThrow().step(0, 0),
                QueueProto.newBuilder().setPriority(priority).build(),
                List.of(0),
                urgency,
                dueAtMs,
                cost(job, priority, urgency, workspace, dueAtMs),
                _index -> false,
                _index -> false,
                _index -> Set.of()));
    }

    /** The cost at time 1,000 of work of 100 ms that can, or can't, meet its objective. */
    private static CostOfDelay cost(String job, int priority, Urgency urgency, String workspace, long dueAtMs) {
        long objectiveMs = urgency == Urgency.IN_TIME ? 10_000 : 500;
        return CostOfDelay.of(
                WorkItem.of(
                        job,
                        workspace,
                        priority,
                        Objective.within(objectiveMs).from(dueAtMs),
                        RemainingWork.of(100, 100)),
                1_000);
    }

    private List<String> ordered(String name) {
        Map<String, Double> usagePerWeight = Map.of("busy", 2.0, "idle", 0.5);
        return demands.stream()
                .sorted(PlanOrder.named(name).comparing(usagePerWeight::get))
                .map(demand -> demand.step().job().id())
                .toList();
    }

    @Test
    void shouldPutInTimeBeforeLateAtSamePriorityWithUrgency() {
        assertThat(ordered("urgency"))
                .containsExactly("last-urgent", "middle", "early-late")
                .inOrder();
    }

    /** Guards against urgent work that is late already taking the capacity of work that can still be in time. */
    @Test
    void shouldPutInTimeBeforeLateWhateverThePriorityWithCost() {
        addDemand("urgent-late", 0, Urgency.LATE, 50, "busy");

        assertThat(ordered("cost"))
                .containsExactly("last-urgent", "middle", "urgent-late", "early-late")
                .inOrder();
    }

    @Test
    void shouldOrderByDueTimeAloneWithArrival() {
        assertThat(ordered("arrival"))
                .containsExactly("early-late", "middle", "last-urgent")
                .inOrder();
    }

    @Test
    void shouldPutLowestUsagePerWeightFirstAtSamePriorityWithFairShare() {
        assertThat(ordered("fair-share"))
                .containsExactly("last-urgent", "middle", "early-late")
                .inOrder();
    }

    @Test
    void shouldRejectUnknownName() {
        IllegalArgumentException error = assertThrows(IllegalArgumentException.class, () -> PlanOrder.named("first"));
        assertThat(error).hasMessageThat().contains("[arrival, cost, fair-share, urgency]");
    }
}
