package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.cli.CliMain;
import org.lovagegrade.cli.ExitCode;

/** An operator evacuates a failure domain by the command line: nothing starts there until it is returned to service. */
final class EvacuationCommandTest {
    private static final int TASKS = 4;
    private static final long STILL_WAITS_MS = 3_000;

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private ExitCode lovagegrade(Fleet fleet, String... args) {
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        Map<String, String> environment = Map.of(
                "LOVAGEGRADE_ENTRY",
                fleet.httpAddress("e1"),
                "LOVAGEGRADE_OPERATOR_KEY",
                Fleet.OPERATOR_KEY,
                "LOVAGEGRADE_OPERATOR",
                "maria");
        output.reset();
        return CliMain.withStreams(environment, stream, stream).run(args);
    }

    private String said() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private void submit(Fleet fleet, String job) {
        Api.Reply reply = fleet.api("e1").submit(job, "secret", "nightly", TASKS, 1, "run-ms=600000");
        assertWithMessage(reply.text()).that(reply.isOk()).isTrue();
    }

    private static List<String> workersOf(Fleet fleet, String job) {
        JsonNode tasks = fleet.api("e1").job(job, "secret").json().path("taskList");
        return StreamSupport.stream(tasks.spliterator(), false)
                .filter(task -> task.path("state").asText().equals("running"))
                .map(task -> task.path("worker").asText())
                .toList();
    }

    private static long startsIn(Program worker) {
        return worker.logLines().stream()
                .filter(line -> line.contains("taskStarted"))
                .count();
    }

    @Test
    void shouldHoldForNewWorkOnlyAndUntilItsEndAcrossALeaderChange() {
        try (Fleet fleet = Fleet.start(folder, 3, 2)) {
            // given: a worker in each failure domain, full in d1
            fleet.createBasics();
            Program one = fleet.startWorkers("one", 1, "d1", List.of("e1"), "--milli-cores", "4000");
            submit(fleet, "before");
            // Tasks that are placed but were not sent to their worker would move to d2.
            Await.until("d1 runs what it holds", () -> startsIn(one) == TASKS);
            fleet.startWorkers("two", 1, "d2", List.of("e2"), "--milli-cores", "4000");

            // when
            assertThat(lovagegrade(fleet, "evacuate", "d1", "--request-id", "first"))
                    .isEqualTo(ExitCode.SUCCESS);
            String accepted = said();
            submit(fleet, "after");
            Await.until(
                    "the room of d2 is used", () -> workersOf(fleet, "after").size() == TASKS);

            // then
            assertThat(workersOf(fleet, "after")).containsExactly("two", "two", "two", "two");
            assertThat(workersOf(fleet, "before")).hasSize(TASKS);

            // and: a resend gets the first answer, an unknown name and an outdated revision are refused
            assertThat(lovagegrade(fleet, "evacuate", "d1", "--request-id", "first"))
                    .isEqualTo(ExitCode.SUCCESS);
            assertThat(said()).isEqualTo(accepted);
            assertThat(lovagegrade(fleet, "evacuate", "d9")).isEqualTo(ExitCode.REFUSED);
            assertThat(said()).contains("unknownDomain");
            assertThat(said()).contains("actual: d9");
            assertThat(lovagegrade(fleet, "evacuate", "d1", "--end", "--base-revision", "0"))
                    .isEqualTo(ExitCode.REFUSED);
            assertThat(said()).contains("changed by maria");

            // when: the work that filled d1 ends, and another replica leads
            assertThat(fleet.api("e1")
                            .send(
                                    "DELETE",
                                    "/v1/jobs/before",
                                    Map.of("Lovagegrade-Key", "secret", "Lovagegrade-Request-Id", "cancel"),
                                    "")
                            .isOk())
                    .isTrue();
            submit(fleet, "waits");
            fleet.program(fleet.leader()).kill();

            // then
            Await.until("d1 is empty and evacuated", () -> {
                lovagegrade(fleet, "evacuate", "--show");
                return said().matches("(?s).*d1 +evacuated +1 +1 +0 .*");
            });
            assertThat(Await.holdsWithin(
                            STILL_WAITS_MS, () -> !workersOf(fleet, "waits").isEmpty()))
                    .isFalse();

            // when
            assertThat(lovagegrade(fleet, "evacuate", "d1", "--end")).isEqualTo(ExitCode.SUCCESS);

            // then
            Await.until("d1 is used again", () -> workersOf(fleet, "waits").size() == TASKS);
            assertThat(workersOf(fleet, "waits")).containsExactly("one", "one", "one", "one");
        }
    }
}
