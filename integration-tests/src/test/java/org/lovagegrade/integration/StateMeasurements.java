package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measurements of the fleet's state for docs/CAPACITY.md; run on demand by {@code bin/measure-state}, not in CI. Prints
 * one line per figure.
 */
final class StateMeasurements {
    private static final int KILLS = 9;
    private static final int CHANGES = 1_000;

    @TempDir
    private Path folder;

    private static void print(String figure, Object value) {
        System.out.println("MEASURED " + figure + " " + value);
    }

    @Test
    void shouldMeasureTheTimeWithoutALeaderAfterAKill() {
        try (Fleet fleet = Fleet.start(folder, 3, 1)) {
            fleet.createBasics();
            List<Long> gapsMs = new ArrayList<>();
            for (int i = 0; i < KILLS; i++) {
                String leader = fleet.leader();
                long killedNs = System.nanoTime();
                fleet.program(leader).kill();
                String id = "probe-" + i;
                Await.until(
                        "a submit is accepted again",
                        () -> fleet.api("e1")
                                .submit(id, "secret", "nightly", 1, 0.1, "run-ms=1")
                                .isOk());
                gapsMs.add((System.nanoTime() - killedNs) / 1_000_000);
                fleet.startProgram(leader);
                Await.until(
                        leader + " has caught up",
                        () -> fleet.replicaStatus(leader).path("commitIndex").asLong() > 0);
            }
            gapsMs.sort(null);
            print("kill-to-accept-ms-median", gapsMs.get(KILLS / 2));
            print("kill-to-accept-ms-max", gapsMs.get(KILLS - 1));
        }
    }

    @Test
    void shouldMeasureCatchingUpAndSnapshots() throws IOException {
        try (Fleet fleet = Fleet.start(folder, 3, 1)) {
            // given: a follower that is down while changes pass it by
            fleet.createBasics();
            String down = fleet.follower();
            fleet.program(down).kill();
            long revision = fleet.api("e1")
                    .config()
                    .json()
                    .path("teams")
                    .path(0)
                    .path("revision")
                    .asLong();
            long startedNs = System.nanoTime();
            for (int i = 0; i < CHANGES; i++) {
                Api.Reply reply =
                        fleet.api("e1").operator("PUT", "/v1/teams/norte", "change-" + i, revision, "{\"share\": 0.5}");
                assertThat(reply.isOk()).isTrue();
                revision = reply.json().path("revision").asLong();
            }
            print("changes-per-second-one-operator", CHANGES * 1_000_000_000L / (System.nanoTime() - startedNs));

            // when
            long leaderIndex =
                    fleet.replicaStatus(fleet.leader()).path("commitIndex").asLong();
            fleet.startProgram(down);
            Await.until("it answers", () -> !fleet.replicaStatus(down).isEmpty());
            long upNs = System.nanoTime();
            Await.until(
                    "it has caught up",
                    () -> fleet.replicaStatus(down).path("commitIndex").asLong() >= leaderIndex);
            print("catch-up-ms-per-1000-changes", (System.nanoTime() - upNs) / 1_000_000);
            try (Stream<Path> files = Files.list(fleet.dataFolder(down))) {
                long bytes = files.filter(file -> file.getFileName().toString().startsWith("log-"))
                        .mapToLong(file -> file.toFile().length())
                        .sum();
                print("log-bytes-per-change", bytes / CHANGES);
            }
        }
    }
}
