package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.testing.proxy.FaultProxy;

/** An accepted change is in force everywhere within seconds, never reverts, and of two racing operators one wins. */
final class ConfigurationTest {
    private static final long IN_FORCE_MS = 10_000;
    private static final long LONGER_THAN_A_VIEW_LEASE_MS = 4_000;

    private final ExecutorService operators = Executors.newFixedThreadPool(2);

    @TempDir
    private Path folder;

    private static long workspaceRevision(Fleet fleet, String entry) {
        return fleet.api(entry)
                .config()
                .json()
                .path("teams")
                .path(0)
                .path("revision")
                .asLong();
    }

    private static Api.Reply setShare(Fleet fleet, String entry, String requestId, long base, String share) {
        return fleet.api(entry).operator("PUT", "/v1/teams/norte", requestId, base, "{\"share\": " + share + "}");
    }

    @AfterEach
    void stopOperators() {
        operators.shutdownNow();
    }

    @Test
    void shouldLetOneOfTwoRacingOperatorsWinAlsoAcrossALeaderChange() {
        try (Fleet fleet = Fleet.start(folder, 3, 3)) {
            fleet.createBasics();
            for (int round = 0; round < 6; round++) {
                // given
                long base = Await.value("the present revision", () -> {
                    long revision = workspaceRevision(fleet, "e1");
                    return revision == 0 ? null : revision;
                });
                String id = "race-" + round + "-";

                // when: two operators change the same revision through different entries, and the leader may die
                CompletableFuture<Api.Reply> maria = CompletableFuture.supplyAsync(
                        () -> untilDefinite(fleet, "e2", id + "maria", base, "0.3"), operators);
                CompletableFuture<Api.Reply> jose = CompletableFuture.supplyAsync(
                        () -> untilDefinite(fleet, "e3", id + "jose", base, "0.4"), operators);
                Optional<String> killed = round % 2 == 1 ? Optional.of(fleet.leader()) : Optional.empty();
                killed.ifPresent(name -> fleet.program(name).kill());

                // then
                List<Api.Reply> replies = List.of(maria.join(), jose.join());
                assertThat(replies.stream().filter(Api.Reply::isOk).count()).isEqualTo(1);
                Api.Reply loser = replies.stream()
                        .filter(reply -> !reply.isOk())
                        .findFirst()
                        .orElseThrow();
                assertThat(loser.status()).isEqualTo(409);
                assertThat(loser.json().path("detail").asText()).contains("changed by");

                // and: a resend gets the first answer
                Api.Reply again = untilDefinite(fleet, "e1", id + "maria", base, "0.3");
                assertThat(again.status()).isEqualTo(maria.join().status());
                killed.ifPresent(fleet::startProgram);
                long won = replies.stream()
                        .filter(Api.Reply::isOk)
                        .findFirst()
                        .orElseThrow()
                        .json()
                        .path("revision")
                        .asLong();
                Await.until("the change is in force", () -> workspaceRevision(fleet, "e1") == won);
            }
        }
    }

    private static Api.Reply untilDefinite(Fleet fleet, String entry, String requestId, long base, String share) {
        return Await.value(requestId + " is answered", () -> {
            Api.Reply reply = setShare(fleet, entry, requestId, base, share);
            return reply.isOk() || reply.status() == 409 ? reply : null;
        });
    }

    @Test
    void shouldStopAWithdrawnKeyEverywhereAlsoAtACutOffEntry() {
        try (Fleet fleet = Fleet.start(folder, 3, 3)) {
            // given
            fleet.createBasics();
            fleet.entryNames()
                    .forEach(entry -> Await.until(
                            "the key works at " + entry,
                            () -> !fleet.api(entry)
                                    .jobs("secret")
                                    .json()
                                    .path("jobs")
                                    .isMissingNode()));
            long keyRevision = fleet.api("e1")
                    .config()
                    .json()
                    .path("keys")
                    .path(0)
                    .path("revision")
                    .asLong();
            List<FaultProxy> cut = fleet.replicaNames().stream()
                    .map(replica -> fleet.link("e3", replica))
                    .toList();
            cut.forEach(FaultProxy::holdAll);

            // when
            long withdrawnNs = System.nanoTime();
            Await.until(
                    "the key is withdrawn",
                    () -> fleet.api("e1")
                            .operator("DELETE", "/v1/keys/norte-1", "withdraw", keyRevision, "")
                            .isOk());

            // then: every entry refuses it within the time, with a true reason
            for (String entry : fleet.entryNames()) {
                Await.until(
                        entry + " refuses the key",
                        () -> isRefused(fleet.api(entry).call("GET", "/x", "secret", Map.of(), "")));
            }
            long tookMs = (System.nanoTime() - withdrawnNs) / 1_000_000;
            assertThat(tookMs).isLessThan(IN_FORCE_MS);
            assertThat(fleet.api("e3").call("GET", "/x", "secret", Map.of(), "").reason())
                    .isEqualTo("viewLeaseExpired");
            assertThat(fleet.api("e3").get("/healthz").status()).isEqualTo(503);

            // and: it stays refused when the entry is heard again
            cut.forEach(FaultProxy::heal);
            fleet.awaitServing("e3");
            assertThat(fleet.api("e3").call("GET", "/x", "secret", Map.of(), "").reason())
                    .isEqualTo("wrongKey");
        }
    }

    @Test
    void shouldNotServeAWithdrawnKeyAtAnEntryThatWasPausedMeanwhile() {
        try (Fleet fleet = Fleet.start(folder, 3, 2)) {
            // given
            fleet.createBasics();
            long keyRevision = fleet.api("e1")
                    .config()
                    .json()
                    .path("keys")
                    .path(0)
                    .path("revision")
                    .asLong();
            fleet.program("e2").pause();

            // when: the key is withdrawn while the entry sleeps for longer than its view lease
            Await.until(
                    "the key is withdrawn",
                    () -> fleet.api("e1")
                            .operator("DELETE", "/v1/keys/norte-1", "withdraw", keyRevision, "")
                            .isOk());
            Await.pause(LONGER_THAN_A_VIEW_LEASE_MS);
            fleet.program("e2").resume();

            // then: its very first answer is a refusal
            assertThat(isRefused(fleet.api("e2").call("GET", "/x", "secret", Map.of(), "")))
                    .isTrue();
        }
    }

    private static boolean isRefused(Api.Reply reply) {
        return reply.outcome().equals("not-run")
                && List.of("wrongKey", "viewLeaseExpired").contains(reply.reason());
    }

    @Test
    void shouldBeInForceBeforeARestartedProcessServes() {
        try (Fleet fleet = Fleet.start(folder, 3, 2)) {
            // given: a replica and an entry that are down while 500 changes pass them by
            fleet.createBasics();
            String down = fleet.follower();
            fleet.program(down).kill();
            fleet.program("e2").kill();
            long revision = workspaceRevision(fleet, "e1");
            for (int i = 0; i < 500; i++) {
                String share = "0." + (100 + i);
                Api.Reply reply = setShare(fleet, "e1", "change-" + i, revision, share);
                assertWithMessage(reply.text()).that(reply.isOk()).isTrue();
                revision = reply.json().path("revision").asLong();
            }

            // when
            fleet.startProgram(down);
            fleet.startProgram("e2");

            // then: the first keyed answer of the entry goes by the last change
            List<Long> served = new ArrayList<>();
            Await.until("e2 serves", () -> {
                boolean serves = fleet.api("e2").get("/healthz").status() == 200;
                if (serves) {
                    served.add(workspaceRevision(fleet, "e2"));
                }
                return serves;
            });
            assertThat(served.get(0)).isEqualTo(revision);
            long leaderIndex =
                    fleet.replicaStatus(fleet.leader()).path("commitIndex").asLong();
            Await.until(
                    down + " has caught up",
                    () -> fleet.replicaStatus(down).path("commitIndex").asLong() >= leaderIndex);
        }
    }

    @Test
    void shouldNeverGoBackAtAnyEntryWhileLeadersChange() {
        try (Fleet fleet = Fleet.start(folder, 3, 3)) {
            // given
            fleet.createBasics();
            List<Long> lastSeen = new ArrayList<>(List.of(0L, 0L, 0L));
            long revision = workspaceRevision(fleet, "e1");

            // when
            for (int i = 0; i < 40; i++) {
                if (i % 15 == 10) {
                    String leader = fleet.leader();
                    fleet.program(leader).kill();
                    fleet.startProgram(leader);
                }
                long base = revision;
                String id = "step-" + i;
                Api.Reply reply = untilDefinite(fleet, "e1", id, base, "0." + (10 + i));
                revision = reply.json().path("revision").asLong();

                // then
                for (int e = 0; e < 3; e++) {
                    long seen = fleet.api("e" + (e + 1))
                            .config()
                            .json()
                            .path("revision")
                            .asLong();
                    assertThat(seen).isAtLeast(lastSeen.get(e));
                    lastSeen.set(e, seen);
                }
            }
            long last = revision;
            fleet.entryNames()
                    .forEach(entry -> Await.until(
                            "the last change is in force at " + entry, () -> workspaceRevision(fleet, entry) == last));
        }
    }
}
