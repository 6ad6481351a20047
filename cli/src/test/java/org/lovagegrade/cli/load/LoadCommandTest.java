package org.lovagegrade.cli.load;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.cli.CliMain;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.trace.LogLine;

/** Guards against jobs and runs that are counted twice or not at all, and against an account of nothing. */
final class LoadCommandTest {
    @TempDir
    private Path directory;

    private final List<String> lines = new ArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private void add(long atMs, String event, String fields) {
        lines.add("  12.345 core-a-1 {\"atMs\":" + atMs + ",\"event\":\"" + event + "\"," + fields + "}");
    }

    private void addAccepted(long atMs, String job, String queue) {
        add(atMs, "jobAccepted", "\"job\":\"" + job + "\",\"queue\":\"" + queue + "\",\"workspace\":\"norte\"");
    }

    private void addOver(long atMs, String job, String result) {
        add(atMs, "jobOver", "\"job\":\"" + job + "\",\"state\":\"GRAPH_COMPLETED\",\"result\":\"" + result + "\"");
    }

    private void addRunEnd(long atMs, String event, String run, long coreMs, long savedCoreMs, String waste) {
        add(
                atMs,
                event,
                "\"run\":\"" + run + "\",\"worker\":\"w1\",\"coreMs\":" + coreMs + ",\"savedCoreMs\":" + savedCoreMs
                        + ",\"waste\":\"" + waste + "\"");
    }

    /** A queue whose jobs are in time, and another one with a job that is late, failed runs and a refusal. */
    private void addDay() {
        add(1_000, "workerIntroduced", "\"worker\":\"w1\",\"domain\":\"noreste\"");
        addAccepted(1_000, "a", "urgent");
        addAccepted(1_100, "b", "wide");
        addAccepted(1_200, "c", "wide");
        add(1_300, "callerRefused", "\"action\":\"SUBMIT_GRAPH\",\"outcome\":\"CALLER_OVERLOADED\",\"path\":\"/p/d\"");
        add(1_400, "adviceSettled", "\"step\":\"b.0.0\",\"workers\":3,\"allowed\":1,\"answered\":true,\"tookMs\":160");
        add(1_500, "startDecided", "\"run\":\"a.0.0.0#1\",\"worker\":\"w1\"");
        addRunEnd(2_500, "runEnded", "a.0.0.0#1", 9_000, 0, "NONE");
        addOver(2_510, "a", "IN_TIME");
        add(3_000, "startDecided", "\"run\":\"b.0.0.0#1\",\"worker\":\"w1\"");
        addRunEnd(7_000, "runGivenUp", "b.0.0.0#1", 12_000, 4_000, "LOST");
        addRunEnd(7_010, "runLost", "b.0.0.0#1", 0, 0, "NONE");
        add(7_100, "startDecided", "\"run\":\"b.0.0.0#2\",\"worker\":\"w1\"");
        addRunEnd(9_000, "runEnded", "b.0.0.0#2", 8_000, 0, "NONE");
        addOver(9_010, "b", "LATE");
    }

    private Path write(String name, boolean isCompressed, List<String> content) throws IOException {
        Path file = directory.resolve(name);
        try (OutputStream stream = Files.newOutputStream(file);
                OutputStream target = isCompressed ? new GZIPOutputStream(stream) : stream) {
            target.write((String.join("\n", content) + "\n").getBytes(StandardCharsets.UTF_8));
        }
        return file;
    }

    private ExitCode run(String... args) {
        return CliMain.withStreams(
                        Map.of(),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(args);
    }

    private List<String> output() {
        return out.toString(StandardCharsets.UTF_8)
                .lines()
                .map(line -> line.replaceAll(" +", " ").strip())
                .toList();
    }

    @Nested
    final class Figures {
        @Test
        void shouldAccountForEachJobAndEachRunOnce() throws IOException {
            addDay();

            assertThat(run("load", write("day.log", false, lines).toString(), "--by", "queue"))
                    .isEqualTo(ExitCode.SUCCESS);

            assertThat(output())
                    .containsAtLeast(
                            "QUEUE SUBMITTED ACCEPTED REFUSED WAITING INTIME LATE USELESS FAILED",
                            "urgent 1 1 0 0 1 0 0 0",
                            "wide 2 2 0 1 0 1 0 0",
                            "QUEUE USEFUL LATE USELESS OPEN SAVED WASTED",
                            "urgent 9 0 0 0 0 0",
                            "wide 0 12 0 0 4 8",
                            "wide 1 0 160");
        }

        @Test
        void shouldShowWhenAndWhereCapacityWasUsed() throws IOException {
            addDay();
            String file = write("day.log", false, lines).toString();

            run("load", file, "--json", "--by", "domain");
            run("load", file, "--json", "--by", "time");

            assertThat(output().get(0)).contains("{\"domain\":\"noreste\",\"useful\":9,\"late\":12,");
            assertThat(output().get(1)).contains("{\"time\":\"5 s\",\"useful\":0,\"late\":12,");
        }

        @Test
        void shouldKeepOnlyLiveJobsInMemory() {
            LoadReport report = new LoadReport();
            for (long number = 0; number < 200_000; number++) {
                String job = "j" + number;
                report.add(line(number, "jobAccepted", job));
                report.add(line(number, "startDecided", job + ".0.0.0#1"));
                report.add(line(number + 1, "jobOver", job));
            }

            assertThat(report.jobsInMemory()).isLessThan(50_000);
        }

        private LogLine line(long atMs, String event, String id) {
            String text = "{\"atMs\":" + atMs + ",\"event\":\"" + event + "\",\"job\":\"" + id + "\",\"run\":\"" + id
                    + "\",\"result\":\"IN_TIME\"}";
            return LogLine.parse("a.log", 1, text).orElseThrow();
        }

        @Test
        void shouldCountAJobThatFailsAsWaste() throws IOException {
            addAccepted(1_000, "a", "wide");
            addRunEnd(1_500, "runEnded", "a.0.0.0#1", 5_000, 0, "NONE");
            addOver(2_000, "a", "FAILED");

            run("load", write("day.log", false, lines).toString(), "--by", "queue");

            assertThat(output()).containsAtLeast("QUEUE JOBFAILED", "wide 5");
        }
    }

    @Nested
    final class InputFiles {
        @Test
        void shouldBeMergedByTimeAlsoIfCompressed() throws IOException {
            // given: a leader that accepts the jobs and another one that sees their ends
            addDay();
            Path first = write("first.log", false, lines.subList(0, 7));
            Path second = write("second.log.gz", true, lines.subList(7, lines.size()));

            // when: the files are given in the wrong order
            run("load", second.toString(), first.toString(), "--by", "queue");

            assertThat(output()).containsAtLeast("urgent 1 1 0 0 1 0 0 0", "wide 0 12 0 0 4 8");
        }

        @Test
        void shouldBeRefusedWithoutAnyJob() throws IOException {
            add(1_000, "started", "\"program\":\"x\"");

            ExitCode code = run("load", write("empty.log", false, lines).toString());

            assertThat(code).isEqualTo(ExitCode.REFUSED);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("none among 1 events");
        }

        @Test
        void shouldBeReportedIfTheyCannotBeRead() {
            assertThat(run("load", directory.resolve("missing.log").toString())).isEqualTo(ExitCode.BAD_USAGE);
        }
    }

    @Nested
    final class OwnFleet {
        private void addFromEachReplica(long atMs, String event, String fields) {
            add(atMs, event, fields);
            add(atMs + 3, event, fields);
        }

        @Test
        void shouldCountAJobOnceThoughEachReplicaReportsIt() throws IOException {
            add(999, "submit", "\"job\":\"a\",\"team\":\"norte\"");
            addFromEachReplica(
                    1_000,
                    "applied",
                    "\"command\":\"SUBMIT\",\"object\":\"a\",\"workClass\":\"night\",\"tasks\":1,\"status\":\"OK\"");
            addFromEachReplica(1_100, "decision", "\"action\":\"PLACE\",\"job\":\"a\",\"task\":0");
            addFromEachReplica(
                    1_900, "decision", "\"action\":\"END\",\"job\":\"a\",\"task\":0,\"reason\":\"completed\"");

            run("load", write("day.log", false, lines).toString(), "--by", "queue");

            assertThat(output()).contains("night 1 1 0 0 0 0 0 0 1");
        }
    }
}
