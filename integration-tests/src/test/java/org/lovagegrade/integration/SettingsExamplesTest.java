package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The annotated examples pass the check that the programs make; broken ones are refused with exit code 2. */
final class SettingsExamplesTest {
    private static final Path SETTINGS = Path.of("..", "settings");

    @TempDir
    private Path folder;

    private Program check(String mainClass, Path file) {
        return Program.of("check", mainClass, folder, "--settings", file.toString(), "--check-settings");
    }

    @Test
    void shouldPassTheCheckOfTheirPrograms() {
        assertThat(check("org.lovagegrade.state.StateMain", SETTINGS.resolve("lovagegrade-state.json"))
                        .runToEnd())
                .isEqualTo(0);
        assertThat(check("org.lovagegrade.entry.EntryMain", SETTINGS.resolve("lovagegrade-entry.json"))
                        .runToEnd())
                .isEqualTo(0);
    }

    @Test
    void shouldBeRefusedWhenBroken() throws IOException {
        // given
        String good = Files.readString(SETTINGS.resolve("lovagegrade-entry.json"));
        Path broken = Files.writeString(folder.resolve("broken.json"), good.replace("7400", "740000"));

        // when
        Program program = check("org.lovagegrade.entry.EntryMain", broken);
        int exitCode = program.runToEnd();

        // then
        String said = String.join("\n", program.logLines());
        assertThat(exitCode).isEqualTo(2);
        assertWithMessage(said).that(said).contains("key: httpPort");
        assertThat(said).contains("found: 740000");
        assertThat(said).contains("expected: a whole number from 1 to 65535, unit: port number");
    }
}
