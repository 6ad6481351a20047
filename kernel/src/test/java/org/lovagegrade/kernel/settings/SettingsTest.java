package org.lovagegrade.kernel.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SettingsTest {
    private static Settings parse(String text) throws SettingsException {
        return Settings.parse("test.json", text);
    }

    @Test
    void shouldReadJsonWithComments() throws SettingsException {
        // given
        Settings settings = parse("{ // the port\n \"port\": 80, /* and a name */ \"name\": \"x\", }");

        // when, then
        assertThat(settings.integer("port", 1, 100, "port number")).isEqualTo(80);
        assertThat(settings.text("name", "a name")).isEqualTo("x");
        settings.throwIfInvalid();
    }

    @Nested
    final class Errors {
        @Test
        void shouldBeReportedTogetherWithFileKeyFoundExpectedAndUnit() throws SettingsException {
            // given
            Settings settings = parse("{\"port\": 99999, \"typo\": 1}");
            settings.integer("port", 1, 65_535, "port number");
            settings.text("name", "a name");

            // when
            SettingsException error = assertThrows(SettingsException.class, settings::throwIfInvalid);

            // then
            assertThat(error.errors()).hasSize(3);
            assertThat(error).hasMessageThat().contains("file: test.json");
            assertThat(error).hasMessageThat().contains("key: port");
            assertThat(error).hasMessageThat().contains("found: 99999");
            assertThat(error).hasMessageThat().contains("unit: port number");
            assertThat(error).hasMessageThat().contains("key: typo");
        }

        @Test
        void shouldIncludePathWithinList() throws SettingsException {
            // given
            Settings settings = parse("{\"replicas\": [{\"name\": \"a\"}, {\"nam\": \"b\"}]}");
            settings.objects("replicas", "a list").forEach(replica -> replica.text("name", "a name"));

            // when
            SettingsException error = assertThrows(SettingsException.class, settings::throwIfInvalid);

            // then
            assertThat(error).hasMessageThat().contains("key: replicas[1].name");
            assertThat(error).hasMessageThat().contains("key: replicas[1].nam");
        }

        @Test
        void shouldBeThrownForInvalidJsonAndMissingFile() {
            assertThrows(SettingsException.class, () -> parse("{\"port\": "));
            assertThrows(SettingsException.class, () -> parse("[1]"));
            assertThrows(SettingsException.class, () -> Settings.read(Path.of("nowhere.json")));
        }
    }
}
