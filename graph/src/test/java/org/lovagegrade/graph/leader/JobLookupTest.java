package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.CallerActionProto;
import org.lovagegrade.wire.proto.CallerOutcomeProto;
import org.lovagegrade.wire.proto.CallerReplyProto;
import org.lovagegrade.wire.proto.CallerRequestProto;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;

/** Guards against accepted jobs that are answered as gone once a configuration gives other names (LOST, review/8). */
final class JobLookupTest {
    private static final String HOST = "host.example";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String OWN_KEY = "own";
    private static final String FOREIGN_KEY = "foreign";

    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000_000);
    private final CallerRequestHandler handler = new CallerRequestHandler(
            machine,
            (command, reply) -> reply.accept(machine.apply(command.build())),
            Metrics.create(),
            Optional.empty());
    private int version;

    @BeforeEach
    void acceptAJob() {
        configure("team", queue("r-1", "/pitch/"));
        assertThat(ask(CallerActionProto.SUBMIT_GRAPH, "/pitch/" + JOB, OWN_KEY).getOutcome())
                .isEqualTo(CallerOutcomeProto.CALLER_OK);
    }

    private static QueueProto.Builder queue(String name, String pathPrefix) {
        return QueueProto.newBuilder().setName(name).setHost(HOST).setPathPrefix(pathPrefix);
    }

    private void configure(String ownWorkspace, QueueProto.Builder... queues) {
        version++;
        FleetDocumentProto.Builder document = FleetDocumentProto.newBuilder()
                .setVersion(version)
                .setSource(ByteString.copyFromUtf8("" + version))
                .addWorkspaces(
                        GraphWorkspaceProto.newBuilder().setName(ownWorkspace).addKeys(OWN_KEY))
                .addWorkspaces(GraphWorkspaceProto.newBuilder().setName("other").addKeys(FOREIGN_KEY));
        List.of(queues).forEach(document::addQueues);
        machine.apply(GraphCommandProto.newBuilder().setConfigure(document).build());
    }

    private CallerReplyProto ask(CallerActionProto action, String path, String key) {
        List<GraphReplyProto> answers = new ArrayList<>();
        handler.handle(
                CallerRequestProto.newBuilder()
                        .setAction(action)
                        .setHost(HOST)
                        .setPath(path)
                        .setKey(key)
                        .setGraph(GraphProto.newBuilder().addSteps(SimulatedCell.tasks(1, 100, false)))
                        .build(),
                answers::add);
        return answers.get(0).getCaller();
    }

    private CallerOutcomeProto show(String path, String key) {
        return ask(CallerActionProto.SHOW_GRAPH, path, key).getOutcome();
    }

    @Nested
    final class QueueOfAnotherName {
        @Test
        void shouldShowJobsThatWereAcceptedAtItsPlace() {
            configure("team", queue("r-2", "/pitch/"));

            assertThat(show("/pitch/" + JOB, OWN_KEY)).isEqualTo(CallerOutcomeProto.CALLER_OK);
        }

        @Test
        void shouldCancelJobsThatWereAcceptedAtItsPlace() {
            configure("team", queue("r-2", "/pitch/"));

            assertThat(ask(CallerActionProto.CANCEL_GRAPH, "/pitch/" + JOB, OWN_KEY)
                            .getOutcome())
                    .isEqualTo(CallerOutcomeProto.CALLER_OK);
            assertThat(machine.job(JOB).orElseThrow().state()).isEqualTo(GraphStateProto.GRAPH_CANCELLED);
        }

        @Test
        void shouldCountJobsThatWereAcceptedAtItsPlaceAsPending() {
            configure("team", queue("r-2", "/pitch/"));

            assertThat(ask(CallerActionProto.SHOW_GRAPH, "/pitch/", OWN_KEY).getPending())
                    .isEqualTo(1);
        }

        /** Guards against names that two queues have exchanged. */
        @Test
        void shouldShowJobsThatWereAcceptedAtItsPlaceWhileTheirQueueIsElsewhere() {
            configure("team", queue("r-1", "/sync/"), queue("r-2", "/pitch/"));

            assertThat(show("/pitch/" + JOB, OWN_KEY)).isEqualTo(CallerOutcomeProto.CALLER_OK);
        }

        @Test
        void shouldNotShowJobsOfOtherPlaces() {
            configure("team", queue("r-1", "/pitch/"), queue("r-2", "/sync/"));

            assertThat(show("/sync/" + JOB, OWN_KEY)).isEqualTo(CallerOutcomeProto.CALLER_GONE);
        }

        @Test
        void shouldShowJobsAfterARestart() {
            configure("team", queue("r-1", "/sync/"), queue("r-2", "/pitch/"));
            machine.restore(machine.snapshot());

            assertThat(show("/pitch/" + JOB, OWN_KEY)).isEqualTo(CallerOutcomeProto.CALLER_OK);
        }
    }

    @Nested
    final class Workspaces {
        /** Guards against jobs that any workspace's key shows and cancels. */
        @Test
        void shouldNotSeeJobsOfOtherWorkspaces() {
            assertThat(show("/pitch/" + JOB, FOREIGN_KEY)).isEqualTo(CallerOutcomeProto.CALLER_GONE);
            assertThat(ask(CallerActionProto.CANCEL_GRAPH, "/pitch/" + JOB, FOREIGN_KEY)
                            .getOutcome())
                    .isEqualTo(CallerOutcomeProto.CALLER_GONE);
            assertThat(machine.job(JOB).orElseThrow().isFinished()).isFalse();
        }

        @Test
        void shouldSeeTheirJobsAfterTheyWereRenamed() {
            configure("team renamed", queue("r-1", "/pitch/"));

            assertThat(show("/pitch/" + JOB, OWN_KEY)).isEqualTo(CallerOutcomeProto.CALLER_OK);
        }

        @Test
        void shouldSeeAllJobsOfAQueueThatIsOpenToAll() {
            configure("team", queue("r-1", "/pitch/").setOpenToAll(true));

            assertThat(show("/pitch/" + JOB, "")).isEqualTo(CallerOutcomeProto.CALLER_OK);
            assertThat(show("/pitch/" + JOB, FOREIGN_KEY)).isEqualTo(CallerOutcomeProto.CALLER_OK);
        }
    }
}
