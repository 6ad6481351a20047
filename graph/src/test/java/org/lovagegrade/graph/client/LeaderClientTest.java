package org.lovagegrade.graph.client;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;
import org.lovagegrade.wire.RpcServer;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphRequestProto;
import org.lovagegrade.wire.proto.GraphStatusProto;

final class LeaderClientTest {
    private static final long TIMEOUT_MS = 3_000;
    /** The client's timeout for one replica. */
    private static final long ATTEMPT_TIMEOUT_MS = 800;
    /** The time after which the client asks the other replicas as well. */
    private static final long LATE_ANSWER_MS = 250;

    private static final int MAX_TRIES = 50;

    private static final String FIRST = "127.0.0.41";
    private static final String SECOND = "127.0.0.42";
    private static final GraphRequestProto REQUEST = GraphRequestProto.getDefaultInstance();

    private final Clock clock = Clock.monotonic();
    private final NetworkThreads loops = NetworkThreads.withThreads(1);
    private final EventLoop loop = EventLoop.named("test");
    private final List<RpcServer> servers = new ArrayList<>();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private volatile Consumer<Consumer<EnvelopeProto>> first = LeaderClientTest::neverAnswer;
    private volatile Consumer<Consumer<EnvelopeProto>> second = LeaderClientTest::neverAnswer;
    private LeaderClient client;

    @BeforeEach
    void start() {
        RpcServer server = RpcServer.listeningAt(loops, new Address(FIRST, 0), (_request, reply) -> {
            asked.add(FIRST);
            first.accept(reply);
        });
        server.start();
        RpcServer other = RpcServer.listeningAt(loops, new Address(SECOND, server.port()), (_request, reply) -> {
            asked.add(SECOND);
            second.accept(reply);
        });
        other.start();
        servers.add(server);
        servers.add(other);
        client = new LeaderClient(loops, server.port(), loop, clock);
        client.setSeedHosts(List.of(FIRST, SECOND));
    }

    @AfterEach
    void stop() {
        client.stop();
        servers.forEach(RpcServer::stop);
        loop.stop();
        loops.stop();
    }

    /** Asks until an answer arrives before the leader counts as late; on a busy machine this may take several tries. */
    private LeaderAnswer askUntilInTime() {
        for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
            asked.clear();
            long startedAtMs = clock.nowMs();
            LeaderAnswer answer = client.ask(REQUEST, TIMEOUT_MS).join();
            if (clock.nowMs() - startedAtMs < LATE_ANSWER_MS) {
                return answer;
            }
        }
        throw new AssertionError("expected: an answer in time\n  actual: none in " + MAX_TRIES + " tries");
    }

    private static void neverAnswer(Consumer<EnvelopeProto> _reply) {}

    private static void answerAsLeader(Consumer<EnvelopeProto> reply) {
        reply.accept(envelope(GraphStatusProto.GRAPH_OK, ""));
    }

    private static Consumer<Consumer<EnvelopeProto>> answerAsFollowerOf(String leader) {
        return reply -> reply.accept(envelope(GraphStatusProto.GRAPH_NOT_LEADER, leader));
    }

    private static Consumer<Consumer<EnvelopeProto>> answerAsLeaderWithVersion(long documentVersion) {
        return reply -> reply.accept(EnvelopeProto.newBuilder()
                .setGraphReply(GraphReplyProto.newBuilder()
                        .setStatus(GraphStatusProto.GRAPH_OK)
                        .setDocumentVersion(documentVersion))
                .build());
    }

    private static EnvelopeProto envelope(GraphStatusProto status, String leader) {
        return EnvelopeProto.newBuilder()
                .setGraphReply(GraphReplyProto.newBuilder().setStatus(status).setLeader(leader))
                .build();
    }

    @Test
    void shouldFindTheNewLeaderBeforeTheAttemptAtAnUnresponsiveOneTimesOut() {
        // given: connections that have been used before
        first = answerAsFollowerOf(SECOND);
        second = LeaderClientTest::answerAsLeader;
        client.ask(REQUEST, TIMEOUT_MS).join();
        first = LeaderClientTest::answerAsLeader;
        second = answerAsFollowerOf(FIRST);
        client.ask(REQUEST, TIMEOUT_MS).join();

        // when
        first = LeaderClientTest::neverAnswer;
        second = LeaderClientTest::answerAsLeader;
        long startedAtMs = clock.nowMs();
        LeaderAnswer answer = client.ask(REQUEST, TIMEOUT_MS).join();

        // then
        assertThat(answer).isInstanceOf(LeaderAnswer.Answered.class);
        assertThat(clock.nowMs() - startedAtMs).isLessThan(ATTEMPT_TIMEOUT_MS);
    }

    @Test
    void shouldRejectAnAnswerBasedOnAnOlderConfigurationThanAnEarlierAnswer() {
        // given: an answer based on version 5, then a replaced leader that still answers based on version 4
        first = answerAsLeaderWithVersion(5);
        client.ask(REQUEST, TIMEOUT_MS).join();
        first = LeaderClientTest::neverAnswer;
        second = answerAsLeaderWithVersion(4);

        // when
        LeaderAnswer stale = client.ask(REQUEST, 900).join();
        second = answerAsLeaderWithVersion(5);
        LeaderAnswer fresh = client.ask(REQUEST, TIMEOUT_MS).join();

        // then
        assertThat(stale).isInstanceOf(LeaderAnswer.Unknown.class);
        assertThat(fresh).isInstanceOf(LeaderAnswer.Answered.class);
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenTheLeaderIsUnresponsive() {
        // given: the second replica knows no leader
        second = answerAsFollowerOf("");

        // when
        LeaderAnswer answer = client.ask(REQUEST, 700).join();

        // then
        assertThat(answer).isInstanceOf(LeaderAnswer.Unknown.class);
    }

    @Test
    void shouldKeepALeaderThatHadTooLittleTimeForOneRequest() {
        // given
        first = LeaderClientTest::answerAsLeader;
        second = answerAsFollowerOf(FIRST);
        askUntilInTime();
        first = LeaderClientTest::neverAnswer;

        // when
        LeaderAnswer late = client.ask(REQUEST, 30).join();
        first = LeaderClientTest::answerAsLeader;
        asked.clear();
        LeaderAnswer next = client.ask(REQUEST, TIMEOUT_MS).join();

        // then
        assertThat(late).isInstanceOf(LeaderAnswer.Unknown.class);
        assertThat(next).isInstanceOf(LeaderAnswer.Answered.class);
        assertThat(asked.get(0)).isEqualTo(FIRST);
    }

    @Test
    void shouldGiveUpAtOnceWhenTooManyRequestsWaitAtTheLeader() {
        // given
        first = reply -> reply.accept(envelope(GraphStatusProto.GRAPH_BUSY, ""));

        // when
        LeaderAnswer answer = askUntilInTime();

        // then: the request was not accepted, and the other replica gets no additional load
        assertThat(answer).isInstanceOf(LeaderAnswer.NotAccepted.class);
        assertThat(asked).containsExactly(FIRST);
    }

    @Test
    void shouldAskNobodyElseWhileTheLeaderAnswersInTime() {
        // given
        first = LeaderClientTest::answerAsLeader;
        second = answerAsFollowerOf(FIRST);

        for (int request = 0; request < 20; request++) {
            // when
            askUntilInTime();

            // then
            assertThat(asked).containsExactly(FIRST);
        }
    }
}
