package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.planning.PlanOrder;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.replica.Leadership;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.GraphRequestProto;
import org.lovagegrade.wire.proto.GraphStatusProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;

final class GraphApplicationTest {
    private final SimulatedTime time = new SimulatedTime();
    private final GraphApplication application = new GraphApplication(
            new SimulatedCell(1, 0, 0),
            new LeaderTimings(4_000, 4_400, 12_000, 200, 1_500, 3_000),
            1_000,
            time,
            time,
            Metrics.create(),
            PlanOrder.urgency());
    private final FakeLeadership leadership = new FakeLeadership();

    /** Records proposals, which the test commits itself. */
    private static final class FakeLeadership implements Leadership {
        private final List<ByteString> commands = new ArrayList<>();
        private final List<Consumer<EnvelopeProto>> replies = new ArrayList<>();
        private String leader = "10.0.0.1#1";

        @Override
        public void propose(ByteString command) {
            propose(command, _reply -> {});
        }

        @Override
        public void propose(ByteString command, Consumer<EnvelopeProto> reply) {
            commands.add(command);
            replies.add(reply);
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public long term() {
            return 1;
        }

        @Override
        public boolean holdsLease() {
            return true;
        }

        @Override
        public String leader() {
            return leader;
        }

        @Override
        public MembershipProto membership() {
            return MembershipProto.newBuilder().addVoters("10.0.0.1#1").build();
        }

        @Override
        public long commitIndex() {
            return 1;
        }
    }

    @Nested
    final class LossOfLeadership {
        @Test
        void shouldReportAnUnknownOutcomeWhenNoLeaderIsKnown() {
            application.becomeLeader(leadership, time.nowMs());
            leadership.leader = "";

            EnvelopeProto answer = application.outcomeUnknownReply();

            assertThat(answer.getGraphReply().getStatus()).isEqualTo(GraphStatusProto.GRAPH_OUTCOME_UNKNOWN);
            assertThat(answer.getGraphReply().getLeader()).isEmpty();
        }
    }

    @Nested
    final class Reads {
        @Test
        void shouldReadTheConfigurationOnlyAfterAQuorumHasCommittedABarrier() {
            application.becomeLeader(leadership, time.nowMs());
            List<EnvelopeProto> answers = new ArrayList<>();
            EnvelopeProto read = EnvelopeProto.newBuilder()
                    .setGraphRequest(GraphRequestProto.newBuilder().setReadDocument(true))
                    .build();

            application.handle(read, answers::add, time.nowMs());

            assertThat(answers).isEmpty();
            EnvelopeProto committed = application.apply(
                    LogEntryProto.newBuilder()
                            .setCommand(leadership.commands.get(0))
                            .build(),
                    time.nowMs());
            leadership.replies.get(0).accept(committed);
            assertThat(answers).hasSize(1);
        }
    }
}
