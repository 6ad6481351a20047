package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.testing.endpoint.FakeEndpoint;
import org.lovagegrade.testing.proxy.FaultProxy;
import org.lovagegrade.wire.Address;

/** Calls through real entries to endpoints that count for themselves. */
final class CallsTest {
    private static final int SLOTS = 4;
    private static final int CONNECTIONS = 64;
    private static final long LEAVING_MS = 3_000;

    @TempDir
    private Path folder;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final EventLoop loop = EventLoop.named("testEndpoints");
    private final List<FakeEndpoint> endpoints = new ArrayList<>();
    private Fleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = Fleet.start(folder, 1, 3);
        fleet.createBasics();
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
        endpoints.forEach(FakeEndpoint::stop);
        loop.stop();
        callers.shutdownNow();
    }

    private FakeEndpoint endpoint(String id, String domain, int slots) {
        FakeEndpoint endpoint = newEndpoint(id, domain, slots);
        endpoint.start(0);
        return endpoint;
    }

    private FakeEndpoint newEndpoint(String id, String domain, int slots) {
        FakeEndpoint.Profile profile = new FakeEndpoint.Profile(id, "orders", domain, slots, CONNECTIONS);
        FakeEndpoint endpoint = new FakeEndpoint(profile, fleet.httpAddresses(), fleet.http(), loop);
        endpoints.add(endpoint);
        return endpoint;
    }

    /** An endpoint whose calls go through a proxy. */
    private FaultProxy proxiedEndpoint(String id, String domain, int slots) {
        FakeEndpoint endpoint = newEndpoint(id, domain, slots);
        // The endpoint is started first to learn its port; the proxy's address is what it announces.
        int port = endpoint.listen(0);
        FaultProxy proxy = FaultProxy.to(fleet.loops(), new Address("127.0.0.1", port));
        endpoint.advertising(proxy.address().host(), proxy.address().port()).announceItself();
        return proxy;
    }

    private void awaitCallable(String entry) {
        Await.until(
                "calls are answered at " + entry,
                () -> fleet.api(entry).call("GET", "/x", "secret", Map.of(), "").isOk());
    }

    private Api anyEntry(int number) {
        return fleet.api("e" + (1 + Math.floorMod(number, 3)));
    }

    private void setWorkspace(String body) {
        long base = fleet.api("e1")
                .config()
                .json()
                .path("teams")
                .path(0)
                .path("revision")
                .asLong();
        Api.Reply reply = fleet.api("e1").operator("PUT", "/v1/teams/norte", "set-team", base, body);
        assertWithMessage(reply.text()).that(reply.isOk()).isTrue();
        long revision = reply.json().path("revision").asLong();
        fleet.entryNames()
                .forEach(entry -> Await.until(
                        "the team is in force at " + entry,
                        () -> fleet.api(entry).config().json().path("revision").asLong() >= revision));
    }

    @Nested
    final class Limits {
        @Test
        void shouldNeverRunMoreThanTheSlotsOfAnEndpointWhileEntriesDieAndPause() {
            // given
            for (int i = 1; i <= 3; i++) {
                endpoint("endpoint-" + i, "d" + i, SLOTS);
            }
            fleet.entryNames().forEach(CallsTest.this::awaitCallable);

            // when
            try (CallLoad load = CallLoad.begin(24, "/sleep/40", "GET", CallsTest.this::anyEntry)) {
                Await.until("calls flow", () -> load.answered() > 100);
                fleet.program("e2").kill();
                Await.pause(1_000);
                fleet.startProgram("e2");
                fleet.program("e1").pause();
                Await.pause(5_000);
                fleet.program("e1").resume();
                fleet.entryNames().forEach(CallsTest.this::awaitCallable);
                long before = load.answered();
                Await.until("calls flow again", () -> load.answered() > before + 200);
            }

            // then
            for (FakeEndpoint endpoint : endpoints) {
                JsonNode stats = endpoint.stats();
                assertThat(stats.path("mostRunning").asInt()).isAtMost(SLOTS);
                assertThat(stats.path("served").asInt()).isGreaterThan(0);
            }
        }

        @Test
        void shouldLetCallsWaitWhenOthersTookTheSlotMeanwhile() {
            // given: few slots that entries without endpoints compete for
            endpoint("endpoint-1", "d1", 2);
            fleet.entryNames().forEach(CallsTest.this::awaitCallable);

            // when
            List<Api.Reply> replies;
            try (CallLoad load = CallLoad.begin(16, "/sleep/20", "POST", CallsTest.this::anyEntry)) {
                Await.until("calls flow", () -> load.replies().size() > 300);
                replies = load.stop();
            }

            // then: they waited, far below their target of 5 s, and none was refused
            assertThat(replies.stream().filter(reply -> !reply.isOk()).toList()).isEmpty();
        }

        @Test
        void shouldNeverPassAWorkspacesLimitAcrossAllEntries() {
            // given
            int limit = 5;
            setWorkspace("{\"share\": 0.5, \"limitCalls\": " + limit + "}");
            FakeEndpoint endpoint = endpoint("endpoint-1", "d1", 32);
            fleet.entryNames().forEach(CallsTest.this::awaitCallable);

            // when
            try (CallLoad load = CallLoad.begin(24, "/sleep/60", "GET", CallsTest.this::anyEntry)) {
                Await.until("calls flow", () -> load.answered() > 100);
                fleet.program("e3").kill();
                Await.pause(1_000);
                fleet.startProgram("e3");
                long before = load.answered();
                Await.until("calls flow again", () -> load.answered() > before + 100);
            }

            // then
            assertThat(endpoint.stats().path("mostByTeam").path("norte").asInt())
                    .isAtMost(limit);
        }
    }

    @Nested
    final class Secrets {
        @Test
        void shouldNotReachTheEndpoint() {
            // given
            endpoint("endpoint-1", "d1", SLOTS);
            awaitCallable("e1");

            // when
            Api.Reply reply = fleet.api("e1")
                    .call("GET", "/headers", "secret", Map.of("Lovagegrade-Operator-Key", Fleet.OPERATOR_KEY), "");

            // then
            assertThat(reply.isOk()).isTrue();
            assertThat(reply.text()).doesNotContain("secret");
        }
    }

    @Nested
    final class AnswersOfOtherCalls {
        @Test
        void shouldReachNobodyAndBeToldAsUnknown() {
            // given: an endpoint that sends back the id of another call
            FakeEndpoint mistaken = endpoint("endpoint-1", "d1", SLOTS);
            awaitCallable("e1");
            mistaken.answerAs("another call");

            // when
            Api.Reply reply = fleet.api("e1").call("POST", "/x", "secret", Map.of(), "a kit");

            // then
            assertThat(reply.outcome()).isEqualTo("unknown");
            assertThat(reply.reason()).isEqualTo("answerOfOtherCall");
            assertThat(reply.text()).doesNotContain("a kit");
        }
    }

    @Nested
    final class BrokenConnections {
        @Test
        void shouldRunANonIdempotentCallAtMostOnceWhereverTheRequestIsCut() {
            FaultProxy proxy = proxiedEndpoint("endpoint-1", "d1", 16);
            awaitCallable("e1");
            walkThroughCuts(proxy, FaultProxy.Direction.TO_TARGET, 420);
        }

        @Test
        void shouldNeverPassOnAnAnswerThatWasCut() {
            FaultProxy proxy = proxiedEndpoint("endpoint-1", "d1", 16);
            awaitCallable("e1");
            walkThroughCuts(proxy, FaultProxy.Direction.TO_SOURCE, 260);
        }

        private void walkThroughCuts(FaultProxy proxy, FaultProxy.Direction direction, int bytes) {
            int answered = 0;
            int unknown = 0;
            for (int cut = 0; cut < bytes; cut++) {
                // given
                String tag = direction + "-" + cut;
                proxy.cut().cutAfter(direction, cut);

                // when
                Api.Reply reply = fleet.api("e1").call("POST", "/order", "secret", Map.of("Test-Tag", tag), "a kit");

                // then
                int runs = endpoints.get(0).stats().path("runsByTag").path(tag).asInt();
                assertWithMessage("cut %s", tag).that(runs).isAtMost(1);
                switch (reply.outcome()) {
                    case "answered" -> {
                        answered++;
                        assertWithMessage("cut %s", tag).that(reply.text()).isEqualTo("endpoint-1 got a kit");
                        assertThat(runs).isEqualTo(1);
                    }
                    case "not-run" ->
                        assertWithMessage("cut %s: %s", tag, reply.reason())
                                .that(runs)
                                .isEqualTo(0);
                    default -> {
                        unknown++;
                        assertWithMessage("cut %s", tag).that(reply.outcome()).isEqualTo("unknown");
                    }
                }
            }
            proxy.heal();
            assertThat(unknown).isGreaterThan(100);
            assertThat(answered + unknown).isAtMost(bytes);
        }

        @Test
        void shouldAnswerIdempotentCallsWhoseConnectionsWentSilentForGood() {
            // given: calls in flight on connections that nobody will hear of again
            FaultProxy proxy = proxiedEndpoint("endpoint-1", "d1", 16);
            awaitCallable("e1");
            List<CompletableFuture<Api.Reply>> calls = IntStream.range(0, 6)
                    .mapToObj(_i -> CompletableFuture.supplyAsync(
                            () -> fleet.api("e1").call("GET", "/sleep/800", "secret", Map.of(), ""), callers))
                    .toList();
            Await.until(
                    "the calls run",
                    () -> endpoints.get(0).stats().path("running").asInt() == 6);

            // when
            proxy.forgetConnections();

            // then: found within seconds, and answered within their deadline of 10 s
            for (CompletableFuture<Api.Reply> call : calls) {
                assertThat(call.join().outcome()).isEqualTo("answered");
            }
        }
    }

    @Nested
    final class Leaving {
        @Test
        void shouldGiveAnEndpointThatLeavesNothingNewAndLetItFinish() {
            // given
            FakeEndpoint leaver = endpoint("endpoint-1", "d1", SLOTS);
            endpoint("endpoint-2", "d1", SLOTS);
            awaitCallable("e1");

            // when
            try (CallLoad load = CallLoad.begin(6, "/sleep/50", "GET", CallsTest.this::anyEntry)) {
                Await.until("calls flow", () -> load.answered() > 50);
                leaver.leave();
                Await.pause(LEAVING_MS);
                int served = leaver.stats().path("servedWhileLeaving").asInt();
                long before = load.answered();
                Await.until("calls flow to the other", () -> load.answered() > before + 50);

                // then
                assertThat(leaver.stats().path("servedWhileLeaving").asInt()).isEqualTo(served);
                assertThat(leaver.stats().path("running").asInt()).isEqualTo(0);
                assertThat(load.stop().stream().filter(reply -> !reply.isOk()).toList())
                        .isEmpty();
            }
        }

        @Test
        void shouldCutNoRequestWhenAnEntryIsShutDownGracefully() {
            // given: a balancer that turns away from an entry whose health check fails
            for (int i = 1; i <= 3; i++) {
                endpoint("endpoint-" + i, "d" + i, 8);
            }
            fleet.entryNames().forEach(CallsTest.this::awaitCallable);
            List<String> healthy = new CopyOnWriteArrayList<>(fleet.entryNames());

            // when
            try (CallLoad load = CallLoad.begin(
                    9, "/sleep/100", "POST", call -> fleet.api(healthy.get(Math.floorMod(call, healthy.size()))))) {
                Await.until("calls flow", () -> load.answered() > 60);
                fleet.program("e2").terminate();
                Await.until(
                        "e2 says that it leaves",
                        () -> fleet.api("e2").get("/healthz").status() != 200);
                healthy.remove("e2");
                assertThat(fleet.program("e2").awaitExit()).isNotEqualTo(70);
                long before = load.answered();
                Await.until("calls flow on", () -> load.answered() > before + 30);

                // then
                assertThat(load.stop().stream().filter(reply -> !reply.isOk()).toList())
                        .isEmpty();
            }
        }
    }

    @Nested
    final class FailingEndpoints {
        @Test
        void shouldBeSetApartAndTriedAgain() {
            // given
            FakeEndpoint failing = endpoint("endpoint-1", "d1", SLOTS);
            FakeEndpoint sound = endpoint("endpoint-2", "d1", SLOTS);
            awaitCallable("e1");
            failing.failAll(true);

            // when
            try (CallLoad load = CallLoad.begin(2, "/x", "POST", _call -> fleet.api("e1"))) {
                Await.until("many calls are answered", () -> load.answered() > 400);
            }

            // then
            int failed = failing.stats().path("served").asInt();
            assertThat(failed).isLessThan(sound.stats().path("served").asInt() / 4);

            // when
            failing.failAll(false);

            // then: a trial call finds it sound, and it serves again
            try (CallLoad _load = CallLoad.begin(8, "/sleep/20", "POST", _call -> fleet.api("e1"))) {
                Await.until(
                        "it serves again", () -> failing.stats().path("served").asInt() > failed + 20);
            }
        }

        @Test
        void shouldNotCauseARetryStormWhenAllAreDown() {
            // given
            FaultProxy proxy = proxiedEndpoint("endpoint-1", "d1", 16);
            awaitCallable("e1");
            proxy.refuse();

            // when
            int calls = 200;
            for (int i = 0; i < calls; i++) {
                Api.Reply reply = fleet.api("e1").call("GET", "/x", "secret", Map.of(), "");
                assertThat(reply.isOk()).isFalse();
            }

            // then: ten retries saved up before, and at most one for ten calls since
            double retries = fleet.api("e1")
                    .get("/metrics")
                    .text()
                    .lines()
                    .filter(line -> line.startsWith("lovagegrade_call_retries"))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                    .sum();
            assertThat(retries).isAtMost(10 + calls / 10.0 + 1);
        }
    }

    @Nested
    final class ACutOffFailureDomain {
        @Test
        void shouldGoOnServingQueuesOpenToAllFromItsOwnEndpoints() {
            // given
            Api.Reply opened = fleet.api("e1")
                    .operator(
                            "PUT",
                            "/v1/classes/open",
                            "make-open",
                            0,
                            "{\"kind\": \"batch\", \"openTeam\": \"norte\", \"waitTargetMs\": 3000}");
            assertThat(opened.isOk()).isTrue();
            endpoint("endpoint-1", "d1", SLOTS);
            endpoint("endpoint-2", "d2", SLOTS);
            Map<String, String> open = Map.of("Lovagegrade-Class", "open");
            fleet.entryNames()
                    .forEach(entry -> Await.until(
                            "open calls are answered at " + entry,
                            () -> fleet.api(entry)
                                    .call("GET", "/x", "", open, "")
                                    .isOk()));

            // when
            List<FaultProxy> cut = fleet.linksOf("e1");
            cut.forEach(FaultProxy::holdAll);
            Await.until(
                    "e1 has no proof of keys any more",
                    () -> fleet.api("e1")
                            .call("GET", "/x", "secret", Map.of(), "")
                            .reason()
                            .equals("viewLeaseExpired"));

            // then: its own endpoint serves on for whoever reaches it, and the others serve on without it
            for (int i = 0; i < 50; i++) {
                assertThat(fleet.api("e1").call("GET", "/x", "", open, "").text())
                        .startsWith("endpoint-1");
            }
            assertThat(fleet.api("e2").call("GET", "/x", "secret", Map.of(), "").isOk())
                    .isTrue();

            // when
            cut.forEach(FaultProxy::heal);

            // then
            awaitCallable("e1");
        }
    }
}
