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
    private static final long ENOUGH_MS = 3_000;
    /** How long the client waits for one replica. */
    private static final long ATTEMPT_MS = 800;
    /** After how long it asks others as well. */
    private static final long LATE_MS = 250;

    private static final int MOST_TRIES = 50;

    private static final String FIRST = "127.0.0.41";
    private static final String SECOND = "127.0.0.42";
    private static final GraphRequestProto REQUEST = GraphRequestProto.getDefaultInstance();

    private final Clock clock = Clock.monotonic();
    private final NetworkThreads loops = NetworkThreads.withThreads(1);
    private final EventLoop loop = EventLoop.named("test");
    private final List<RpcServer> servers = new ArrayList<>();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private volatile Consumer<Consumer<EnvelopeProto>> first = LeaderClientTest::silent;
    private volatile Consumer<Consumer<EnvelopeProto>> second = LeaderClientTest::silent;
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

    /** Asks until an answer comes before a leader counts as late, which a busy machine may take some tries for. */
    private LeaderAnswer askUntilInTime() {
        for (int attempt = 0; attempt < MOST_TRIES; attempt++) {
            asked.clear();
            long beganMs = clock.nowMs();
            LeaderAnswer answer = client.ask(REQUEST, ENOUGH_MS).join();
            if (clock.nowMs() - beganMs < LATE_MS) {
                return answer;
            }
        }
        throw new AssertionError("expected: an answer in time\n  actual: none in " + MOST_TRIES + " tries");
    }

    private static void silent(Consumer<EnvelopeProto> _reply) {}

    private static void leads(Consumer<EnvelopeProto> reply) {
        reply.accept(envelope(GraphStatusProto.GRAPH_OK, ""));
    }

    private static Consumer<Consumer<EnvelopeProto>> follows(String leader) {
        return reply -> reply.accept(envelope(GraphStatusProto.GRAPH_NOT_LEADER, leader));
    }

    private static Consumer<Consumer<EnvelopeProto>> leadsBy(long documentVersion) {
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
    void shouldFindTheNewLeaderBeforeTheAttemptAtTheSilentOneIsGivenUp() {
        // given: connections that were in use before
        first = follows(SECOND);
        second = LeaderClientTest::leads;
        client.ask(REQUEST, ENOUGH_MS).join();
        first = LeaderClientTest::leads;
        second = follows(FIRST);
        client.ask(REQUEST, ENOUGH_MS).join();

        // when
        first = LeaderClientTest::silent;
        second = LeaderClientTest::leads;
        long beganMs = clock.nowMs();
        LeaderAnswer answer = client.ask(REQUEST, ENOUGH_MS).join();

        // then
        assertThat(answer).isInstanceOf(LeaderAnswer.Answered.class);
        assertThat(clock.nowMs() - beganMs).isLessThan(ATTEMPT_MS);
    }

    @Test
    void shouldTakeNoAnswerThatIsBasedOnAnOlderDesiredStateThanOneBefore() {
        // given: an answer by version 5, then a leader that was replaced and still answers by version 4
        first = leadsBy(5);
        client.ask(REQUEST, ENOUGH_MS).join();
        first = LeaderClientTest::silent;
        second = leadsBy(4);

        // when
        LeaderAnswer stale = client.ask(REQUEST, 900).join();
        second = leadsBy(5);
        LeaderAnswer fresh = client.ask(REQUEST, ENOUGH_MS).join();

        // then
        assertThat(stale).isInstanceOf(LeaderAnswer.Unknown.class);
        assertThat(fresh).isInstanceOf(LeaderAnswer.Answered.class);
    }

    @Test
    void shouldTellThatASubmitWhoseLeaderFellSilentIsPerhapsTaken() {
        // given: the second one knows of no other leader
        second = follows("");

        // when
        LeaderAnswer answer = client.ask(REQUEST, 700).join();

        // then
        assertThat(answer).isInstanceOf(LeaderAnswer.Unknown.class);
    }

    @Test
    void shouldStayWithALeaderThatHadTooLittleTimeForOneRequest() {
        // given
        first = LeaderClientTest::leads;
        second = follows(FIRST);
        askUntilInTime();
        first = LeaderClientTest::silent;

        // when
        LeaderAnswer late = client.ask(REQUEST, 30).join();
        first = LeaderClientTest::leads;
        asked.clear();
        LeaderAnswer next = client.ask(REQUEST, ENOUGH_MS).join();

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

        // then: it was not taken, and the load is not put elsewhere
        assertThat(answer).isInstanceOf(LeaderAnswer.NotAccepted.class);
        assertThat(asked).containsExactly(FIRST);
    }

    @Test
    void shouldAskNobodyElseWhileTheLeaderAnswersInTime() {
        // given
        first = LeaderClientTest::leads;
        second = follows(FIRST);

        for (int request = 0; request < 20; request++) {
            // when
            askUntilInTime();

            // then
            assertThat(asked).containsExactly(FIRST);
        }
    }
}
