package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateListener;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.CallerActionProto;
import org.lovagegrade.wire.proto.CallerOutcomeProto;
import org.lovagegrade.wire.proto.CallerReplyProto;
import org.lovagegrade.wire.proto.CallerRequestProto;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.StepProto;

/** A fleet of 10 cores; each job takes 1 s on 10 cores, and its result is useful for 9 s. */
final class SubmissionGateTest {
    private static final String HOST = "host";
    private static final String KEY = "key";

    private final SimulatedTime time = new SimulatedTime();
    private final Metrics metrics = Metrics.create();
    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000_000);
    private final List<GraphCommandProto.Builder> proposals = new ArrayList<>();
    private final List<Consumer<GraphReplyProto>> replies = new ArrayList<>();
    private WorkAccount workAccount;
    private CallerRequestHandler handler;

    @BeforeEach
    void configureAndLead() {
        machine.apply(GraphCommandProto.newBuilder()
                .setConfigure(FleetDocumentProto.newBuilder()
                        .setVersion(1)
                        .setSource(ByteString.copyFromUtf8("1"))
                        .addWorkspaces(GraphWorkspaceProto.newBuilder()
                                .setName("team")
                                .addKeys(KEY)
                                .setWeight(1_000))
                        .addQueues(QueueProto.newBuilder()
                                .setName("queue")
                                .setHost(HOST)
                                .setPathPrefix("/q/")
                                .setSlackFactor(2)
                                .setCompletionTargetMs(1_000)))
                .build());
        lead();
    }

    private void lead() {
        workAccount = new WorkAccount(machine);
        workAccount.observe(10_000, time.nowMs());
        machine.setListener(new GraphStateListener() {
            @Override
            public void jobAccepted(JobRecord job) {
                workAccount.jobAccepted(job);
            }

            @Override
            public void jobFinished(JobRecord job) {
                workAccount.jobFinished(job);
            }
        });
        handler = new CallerRequestHandler(
                machine,
                (command, reply) -> {
                    proposals.add(command);
                    replies.add(reply);
                },
                metrics,
                Optional.of(new SubmissionGate(workAccount, time, metrics)));
    }

    /** Submits a job; returns the answer, or empty while a proposal waits for its commit. */
    private Optional<CallerReplyProto> submit(String job) {
        List<GraphReplyProto> answers = new ArrayList<>();
        handler.handle(
                CallerRequestProto.newBuilder()
                        .setAction(CallerActionProto.SUBMIT_GRAPH)
                        .setHost(HOST)
                        .setPath("/q/" + job)
                        .setKey(KEY)
                        .setGraph(GraphProto.newBuilder()
                                .addSteps(StepProto.newBuilder()
                                        .setCount(1)
                                        .setEstimateMs(1_000)
                                        .setPerTask(ResourcesProto.newBuilder().setMilliCores(10_000))))
                        .build(),
                answers::add);
        return answers.stream().findFirst().map(GraphReplyProto::getCaller);
    }

    private void commitAll() {
        for (int proposal = 0; proposal < proposals.size(); proposal++) {
            replies.get(proposal)
                    .accept(machine.apply(
                            proposals.get(proposal).setAtMs(time.nowMs()).build()));
        }
        proposals.clear();
        replies.clear();
    }

    /** Accepts jobs one after the other until one is refused; returns the refusal. */
    private CallerReplyProto submitUntilRefused() {
        for (int job = 0; job < 100; job++) {
            Optional<CallerReplyProto> answer = submit("job" + job);
            if (answer.isPresent()) {
                return answer.get();
            }
            commitAll();
        }
        throw new AssertionError("expected: a refusal within 100 jobs");
    }

    private void cancelAll() {
        for (JobRecord job : List.copyOf(machine.activeJobs())) {
            machine.apply(GraphCommandProto.newBuilder().setCancel(job.id()).build());
        }
    }

    @Nested
    final class FullFleet {
        /** Guards against accepting without limit, and against a refusal that states neither reason nor time. */
        @Test
        void shouldRefuseWithReasonAndTimeAndCount() {
            CallerReplyProto refusal = submitUntilRefused();

            assertThat(refusal.getOutcome()).isEqualTo(CallerOutcomeProto.CALLER_OVERLOADED);
            assertThat(refusal.getReason()).contains("FLEET_FULL");
            assertThat(refusal.getRetryAfterMs()).isAtLeast(1_000);
            // Three in time and one late; a fifth would be useless, as its work ahead includes as many arrivals again.
            assertThat(machine.activeJobs()).hasSize(4);
            assertThat(metrics.scrape()).contains("lovagegrade_admission_refusals_total{reason=\"fleet_full\"} 1.0");
        }

        /** Guards against a caller that is told of a refusal of a job that runs. */
        @Test
        void shouldAcknowledgeAKnownJobAtAnyLoad() {
            submitUntilRefused();

            assertThat(submit("job0").orElseThrow().getOutcome()).isEqualTo(CallerOutcomeProto.CALLER_OK);
        }

        /** Guards against refusing a resend of a job whose first proposal is committed a moment later. */
        @Test
        void shouldNotRefuseAJobThatIsBeingCommitted() {
            assertThat(submit("early")).isEmpty();
            List<GraphCommandProto.Builder> pending = List.copyOf(proposals);
            proposals.clear();
            replies.clear();
            submitUntilRefused();

            assertThat(submit("early")).isEmpty();
            assertThat(pending).hasSize(1);
        }

        /** Guards against a delayed copy of a refused request that is accepted after the refusal was sent. */
        @Test
        void shouldAnswerAResendOfARefusedJobTheSame() {
            CallerReplyProto refusal = submitUntilRefused();
            String refused = "job" + machine.activeJobs().size();
            cancelAll();

            assertThat(submit(refused)).hasValue(refusal);
        }

        /** Guards against refusals that don't end once there is room. */
        @Test
        void shouldAcceptAReturningJobOnceThereIsRoom() {
            submitUntilRefused();
            String refused = "job" + machine.activeJobs().size();
            cancelAll();
            time.advance(60_000);

            assertThat(submit(refused)).isEmpty();
            assertThat(proposals).hasSize(1);
        }
    }

    @Nested
    final class ReplacedLeader {
        /** Guards against a new leader that forgets the work that waits, or refuses since its estimates are empty. */
        @Test
        void shouldDecideFromTheReplicatedJobs() {
            CallerReplyProto refusal = submitUntilRefused();

            lead();

            assertThat(submit("another").orElseThrow().getOutcome()).isEqualTo(refusal.getOutcome());
            cancelAll();
            lead();
            assertThat(submit("another")).isEmpty();
        }
    }
}
