package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A replica that lost its disk comes back as another, and the next loss costs nothing. */
final class DisksTest {
    @TempDir
    private Path folder;

    private static List<String> voters(Fleet fleet) {
        List<String> voters = new ArrayList<>();
        for (JsonNode voter : fleet.api("e1").status().json().path("voters")) {
            voters.add(voter.asText());
        }
        return voters;
    }

    private static void loseDisk(Fleet fleet, String replica, boolean lostBefore) {
        List<String> before = voters(fleet);
        fleet.program(replica).kill();
        fleet.wipeDisk(replica);
        fleet.startProgram(replica);
        Await.until(replica + " votes under a new identity", () -> {
            List<String> now = voters(fleet);
            return now.size() == 3 && !now.equals(before) && now.stream().noneMatch((replica + "#1")::equals);
        });
        assertThat(lostBefore).isEqualTo(before.stream().noneMatch((replica + "#1")::equals));
    }

    @Test
    void shouldCostNothingWhenOneAfterTheOtherIsLost() {
        try (Fleet fleet = Fleet.start(folder, 3, 1)) {
            // given
            fleet.createBasics();
            fleet.startWorkers("w", 2, "d1", fleet.entryNames());
            for (int i = 0; i < 20; i++) {
                String id = "job-" + i;
                Await.until(
                        id + " is accepted",
                        () -> fleet.api("e1")
                                .submit(id, "secret", "nightly", 1, 0.5, "run-ms=100")
                                .isOk());
            }

            // when: each disk is lost in its turn, the next as soon as the last one votes again
            for (String replica : fleet.replicaNames()) {
                loseDisk(fleet, replica, false);
            }

            // then: no disk of the first three is left, and nothing is missing
            assertThat(voters(fleet)).containsNoneOf("s1#1", "s2#1", "s3#1");
            Await.until("all jobs have ended", () -> {
                JsonNode jobs = fleet.api("e1").jobs("secret").json().path("jobs");
                int ended = 0;
                for (JsonNode job : jobs) {
                    ended += job.path("state").asText().equals("ended") ? 1 : 0;
                }
                return ended == 20;
            });
        }
    }
}
