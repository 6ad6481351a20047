package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.wire.proto.CallerOutcomeProto;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.EvacuationOrderProto;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.RunLossProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.TaskKeyProto;
import org.lovagegrade.wire.proto.WorkerGoneProto;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * Guards against a command in the log that replicas can't apply: each of them would end at it, and again at each restart.
 */
final class OddCommandTest {
    private static final List<Long> ODD_NUMBERS =
            List.of(Long.MIN_VALUE, -1L, 0L, 1L << 32, 1L << 62, Long.MAX_VALUE, (long) Integer.MAX_VALUE, (long)
                    Integer.MIN_VALUE);

    private static GraphProto.Builder job(String id) {
        return GraphProto.newBuilder()
                .setId(id)
                .setQueue("queue")
                .setWorkspace("team")
                .addSteps(SimulatedCell.tasks(2, 500, false));
    }

    private static GraphCommandProto submit(GraphProto.Builder graph) {
        return GraphCommandProto.newBuilder().setSubmit(graph).build();
    }

    private static GraphProto.Builder withStep(String id, StepProto.Builder step) {
        return job(id).clearSteps().addSteps(step);
    }

    private static ResourcesProto resources(long amount) {
        return ResourcesProto.newBuilder()
                .setMilliCores(amount)
                .setMemoryMb(amount)
                .setAccelerators(amount)
                .build();
    }

    private static List<GraphCommandProto> oddCommands(long number) {
        List<GraphCommandProto> commands = new ArrayList<>();
        StepProto.Builder step = SimulatedCell.tasks(2, 500, false).toBuilder();
        String suffix = String.valueOf(number);
        commands.add(submit(job("occurrences" + suffix).setOccurrences(number).setIntervalMs(1)));
        commands.add(submit(job("interval" + suffix).setOccurrences(3).setIntervalMs(number)));
        commands.add(submit(job("due" + suffix).setOccurrences(3).setFirstDueMs(number)));
        commands.add(submit(withStep("count" + suffix, step.clone().setCount((int) number))));
        commands.add(submit(withStep("after" + suffix, step.clone().addAfter((int) number))));
        commands.add(submit(withStep("most" + suffix, step.clone().setMostPerWorker((int) number))));
        commands.add(submit(withStep("estimate" + suffix, step.clone().setEstimateMs(number))));
        commands.add(submit(withStep("size" + suffix, step.clone().setPerTask(resources(number)))));
        commands.add(submit(withStep("gang" + suffix, step.clone().setGang(true).setPerTask(resources(number)))));
        commands.add(submit(job("").clearSteps()));
        TaskKeyProto task = TaskKeyProto.newBuilder()
                .setJob("sound")
                .setOccurrence((int) number)
                .setStep((int) number)
                .setIndex((int) number)
                .build();
        commands.add(GraphCommandProto.newBuilder()
                .setStart(StartsProto.newBuilder()
                        .addStarts(StartProto.newBuilder()
                                .setTask(task)
                                .setRun((int) number)
                                .setWorker("w0")))
                .build());
        commands.add(GraphCommandProto.newBuilder()
                .setEnd(EndsProto.newBuilder()
                        .setWorker("w0")
                        .setBornMs(number)
                        .addEnds(EndProto.newBuilder()
                                .setTask(task)
                                .setRun((int) number)
                                .setHow(RunEndProto.RUN_LOST)
                                .setLoss(RunLossProto.newBuilder().setSurvivedMs(number))))
                .build());
        commands.add(GraphCommandProto.newBuilder()
                .setWorker(WorkerProto.newBuilder()
                        .setId("odd" + suffix)
                        .setBornMs(number)
                        .setSequence(number)
                        .setRemainingMs(number)
                        .setPool(SimulatedCell.POOL)
                        .setAddress("odd" + suffix)
                        .setCapacity(resources(number)))
                .build());
        commands.add(GraphCommandProto.newBuilder()
                .setWorkerGone(WorkerGoneProto.newBuilder().setBornMs(number))
                .build());
        commands.add(GraphCommandProto.newBuilder()
                .setEvacuation(EvacuationOrderProto.getDefaultInstance())
                .build());
        commands.add(GraphCommandProto.newBuilder().setCancel("unknown").build());
        commands.add(GraphCommandProto.getDefaultInstance());
        return commands;
    }

    @Nested
    final class Replicas {
        /** Guards against a first desired state with the lowest version that there is. */
        @Test
        void shouldApplyAFirstConfigurationOfAnyVersion() {
            for (long version : ODD_NUMBERS) {
                GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
                GraphReplyProto reply = machine.apply(GraphCommandProto.newBuilder()
                        .setConfigure(FleetDocumentProto.newBuilder()
                                .setVersion(version)
                                .setSource(ByteString.copyFromUtf8("x")))
                        .build());

                assertThat(reply.getDocument().getAccepted()).isTrue();
            }
        }

        /** Guards against a job whose number of tasks is beyond what memory holds. */
        @Test
        void shouldRefuseAJobThatTheyCannotHold() {
            GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
            GraphReplyProto reply = machine.apply(submit(job("j").setOccurrences(1L << 62)));

            assertThat(reply.getCaller().getOutcome()).isEqualTo(CallerOutcomeProto.CALLER_INVALID);
            assertThat(machine.job("j")).isEqualTo(java.util.Optional.empty());
        }
    }

    @Nested
    final class Leaders {
        @Test
        void shouldGoOnWithSoundWorkAfterAnyCommand() {
            for (long number : ODD_NUMBERS) {
                SimulatedCell cell = new SimulatedCell(1, 4, 0);
                cell.time.advance(3_000);
                cell.machine().apply(submit(job("sound")));
                for (GraphCommandProto command : oddCommands(number)) {
                    cell.machine().apply(command);
                    cell.time.advance(50);
                }
                cell.losePower();
                cell.time.advance(10_000);
                String later = cell.submit(SimulatedCell.tasks(2, 500, false));
                cell.time.advance(20_000);

                assertWithMessage(number + "").that(cell.violations).isEmpty();
                assertWithMessage(number + "")
                        .that(cell.job("sound").state())
                        .isEqualTo(GraphStateProto.GRAPH_COMPLETED);
                assertWithMessage(number + "").that(cell.job(later).state()).isEqualTo(GraphStateProto.GRAPH_COMPLETED);
            }
        }
    }
}
