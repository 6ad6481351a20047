package org.lovagegrade.replay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class ReplayTest {
    private static final Path TRACES = Path.of("..", "traces");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> CELL_SETUP = List.of(
            "{\"atMs\":0,\"event\":\"worker\",\"id\":\"w1\",\"failureDomain\":\"d1\",\"rack\":\"r1\",\"cores\":4,"
                    + "\"memoryMb\":1000,\"accelerators\":0}",
            "{\"atMs\":0,\"event\":\"team\",\"id\":\"t\",\"share\":1,\"limitCores\":null,\"limitMemoryMb\":null,"
                    + "\"limitAccelerators\":null}",
            "{\"atMs\":0,\"event\":\"class\",\"id\":\"c\",\"kind\":\"batch\",\"waitTargetMs\":1000,"
                    + "\"recoveryTargetMs\":8000,\"shareTargetMs\":null}");

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    static List<Path> committedTraces() throws IOException {
        try (Stream<Path> files = Files.list(TRACES)) {
            return files.sorted().toList();
        }
    }

    private int run(String... args) {
        return new ReplayMain(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(args);
    }

    private Path trace(String... more) throws IOException {
        List<String> lines = new ArrayList<>(CELL_SETUP);
        lines.addAll(List.of(more));
        return Files.write(folder.resolve("trace.jsonl"), lines);
    }

    private static String submit(long atMs, String id, int tasks, double cores, String runMs) {
        return "{\"atMs\":" + atMs + ",\"event\":\"submit\",\"id\":\"" + id + "\",\"team\":\"t\",\"class\":\"c\","
                + "\"tasks\":" + tasks + ",\"cores\":" + cores + ",\"memoryMb\":10,\"accelerators\":0,"
                + "\"declaredRunMs\":1000,\"actualRunMs\":" + runMs + "}";
    }

    private List<String> decisions(Path trace) throws IOException {
        Path file = folder.resolve("decisions.jsonl");
        run("--trace", trace.toString(), "--decisions", file.toString());
        return Files.readAllLines(file);
    }

    @ParameterizedTest
    @MethodSource("committedTraces")
    void shouldMeetTheExpectedOutcomesOfEachTrace(Path trace) {
        // when
        int exitCode = run("--trace", trace.toString(), "--json");

        // then
        assertWithMessage("%s: %s %s", trace, err, out).that(exitCode).isEqualTo(ReplayMain.EXIT_MET);
    }

    @Test
    void shouldWriteTheSameDecisionsByteForByte() throws IOException {
        Path trace = TRACES.resolve("norte-everything.jsonl");
        assertThat(decisions(trace)).isEqualTo(decisions(trace));
    }

    @Test
    void shouldPrintOneObjectWithAllMeasures() throws IOException {
        // when
        run("--trace", trace(submit(0, "j", 2, 1, "500")).toString(), "--json");

        // then
        JsonNode summary = JSON.readTree(out.toString(StandardCharsets.UTF_8));
        assertThat(summary.path("violations").asInt()).isEqualTo(0);
        assertThat(summary.path("ended").asInt()).isEqualTo(2);
        assertThat(summary.path("waitMs").path("c").path("p99").asInt()).isEqualTo(0);
        assertThat(summary.path("waitTargetMet").path("c").asDouble()).isEqualTo(1.0);
        assertThat(summary.path("shareDistance").has("max")).isTrue();
        assertThat(summary.path("decisionUs").has("p50")).isTrue();
        assertThat(summary.has("peakHeapMb")).isTrue();
    }

    @Test
    void shouldWriteAReportOfAllPolicies() throws IOException {
        // when
        Path report = folder.resolve("report");
        run("--trace", trace(submit(0, "j", 8, 1, "500")).toString(), "--report", report.toString());

        // then
        assertThat(Files.readString(report.resolve("index.html"))).contains("fifo-first-fit");
        assertThat(Files.readString(report.resolve("index.html"))).contains("data:image/png;base64,");
    }

    @Nested
    final class BadInput {
        @Test
        void shouldNameFileLineAndField() throws IOException {
            // when
            int exitCode =
                    run("--trace", trace("{\"atMs\":0,\"event\":\"cancel\"}").toString());

            // then
            assertThat(exitCode).isEqualTo(ReplayMain.EXIT_BAD_INPUT);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("line: 4");
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("field: id");
        }

        @Test
        void shouldRejectDecreasingTimesInvalidJsonMissingFilesAndUnknownPolicies() throws IOException {
            assertThat(run(
                            "--trace",
                            trace(submit(5, "a", 1, 1, "1"), submit(4, "b", 1, 1, "1"))
                                    .toString()))
                    .isEqualTo(ReplayMain.EXIT_BAD_INPUT);
            assertThat(run("--trace", trace("not json").toString())).isEqualTo(ReplayMain.EXIT_BAD_INPUT);
            assertThat(run("--trace", "nowhere.jsonl")).isEqualTo(ReplayMain.EXIT_BAD_INPUT);
            assertThat(run("--trace", trace().toString(), "--policy", "none")).isEqualTo(ReplayMain.EXIT_BAD_INPUT);
        }
    }

    @Nested
    final class Outcomes {
        @Test
        void shouldFailTheReplayWhenMissed() throws IOException {
            // given
            String outcome = "{\"atMs\":9,\"event\":\"outcome\",\"measure\":\"waitMs.c.max\",\"atMost\":10}";

            // when: the second task waits for the first
            int exitCode =
                    run("--trace", trace(submit(0, "j", 2, 4, "500"), outcome).toString());

            // then
            assertThat(exitCode).isEqualTo(ReplayMain.EXIT_MISSED);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("waitMs.c.max");
        }
    }

    @Nested
    final class SimulatedWorkers {
        @Test
        void shouldPlaceATaskElsewhereOnlyAfterTheLeaseOfItsUnresponsiveWorkerHasExpired() throws IOException {
            // given
            String other = CELL_SETUP.get(0).replace("w1", "w2").replace("\"atMs\":0", "\"atMs\":100");
            Path trace = trace(
                    submit(0, "j", 1, 4, "60000"), other, "{\"atMs\":1000,\"event\":\"workerLost\",\"id\":\"w1\"}");

            // when
            List<String> decisions = decisions(trace);

            // then: lost at 1000 ms; the lease is three quarters of the recovery target of 8 s, plus the bound on clock
            // drift
            assertThat(decisions.get(2)).contains("\"atMs\":7060,\"action\":\"leaseExpired\"");
            assertThat(decisions.get(3))
                    .contains("\"action\":\"place\",\"job\":\"j\",\"task\":0,\"attempt\":2,\"worker\":\"w2\"");
        }

        @Test
        void shouldFailTheAttemptsOfARestartedWorker() throws IOException {
            // given
            Path trace = trace(
                    submit(0, "j", 1, 4, "60000"),
                    "{\"atMs\":1000,\"event\":\"workerLost\",\"id\":\"w1\"}",
                    "{\"atMs\":2000,\"event\":\"workerBack\",\"id\":\"w1\"}");

            // when
            List<String> decisions = decisions(trace);

            // then
            assertThat(decisions.get(2)).contains("\"action\":\"fail\"");
            assertThat(decisions.get(2)).contains("\"reason\":\"workerRestarted\"");
            assertThat(decisions.get(3)).contains("\"atMs\":2000,\"action\":\"place\"");
        }

        @Test
        void shouldWriteADecisionForEverySubmittedJob() throws IOException {
            // given
            Path trace = trace(
                    submit(0, "good", 1, 1, "1"),
                    submit(0, "huge", 1, 99, "1"),
                    submit(0, "bad", 0, 1, "1"),
                    submit(0, "stranger", 1, 1, "1").replace("\"team\":\"t\"", "\"team\":\"x\""));

            // when
            String decisions = String.join("\n", decisions(trace));

            // then
            assertThat(decisions).contains("\"action\":\"accept\",\"job\":\"good\"");
            assertThat(decisions).contains("\"action\":\"setAside\",\"job\":\"huge\"");
            assertThat(decisions).contains("\"action\":\"refuse\",\"job\":\"bad\"");
            assertThat(decisions).contains("\"reason\":\"unknownTeam\"");
        }
    }
}
