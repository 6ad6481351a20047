package org.lovagegrade.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CliMainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... args) {
        return CliMain.withStreams(
                        Map.of(),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(args);
    }

    @Nested
    final class BadUsage {
        @Test
        void shouldBeReportedBeforeAnyRequestIsSent() {
            assertThat(run()).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("unknown")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("submit")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("submit", "--class", "c", "--tasks", "many")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("submit", "--no-such-option")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("team", "set", "norte", "--share", "half")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("key", "give", "k1")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("explain")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("evacuate")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("evacuate", "a", "b")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(run("evacuate", "a", "--show")).isEqualTo(ExitCode.BAD_USAGE);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("expected: --class CLASS");
        }
    }

    @Nested
    final class Help {
        @Test
        void shouldBePrintedForEveryCommand() {
            for (String command : new String[] {
                "team", "class", "key", "evacuate", "submit", "cancel", "show", "explain", "status", "call"
            }) {
                assertThat(run(command, "--help")).isEqualTo(ExitCode.SUCCESS);
            }
            assertThat(run("--help")).isEqualTo(ExitCode.SUCCESS);
            assertThat(out.toString(StandardCharsets.UTF_8)).contains("exit codes: 0 done");
        }
    }

    @Nested
    final class LogsWithoutWork {
        @Test
        void shouldNotPassTheCheck(@TempDir Path directory) throws IOException {
            Path file = Files.writeString(directory.resolve("a.log"), "{\"atMs\":1,\"event\":\"started\"}\n");

            assertThat(run("logs", "check", file.toString())).isEqualTo(ExitCode.REFUSED);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("no accepted job");
        }
    }
}
