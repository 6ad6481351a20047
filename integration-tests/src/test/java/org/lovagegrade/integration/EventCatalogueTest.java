package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Compares docs/EVENTS.md with what the sources write. */
final class EventCatalogueTest {
    private static final Path ROOT = Path.of("..");
    private static final List<String> MODULES =
            List.of("kernel", "core", "wire", "state", "graph", "entry", "platform");
    private static final Pattern COMMENT = Pattern.compile("(?s)/\\*.*?\\*/|(?m)^\\s*//[^\\n]*$");
    private static final Pattern EVENT = Pattern.compile("Log\\.event\\(\\s*\"(\\w+)\"\\)");
    private static final Pattern FIELD = Pattern.compile("\\.with\\(\\s*\"(\\w+)\"");
    private static final Pattern WORD = Pattern.compile("`(\\w+)`");

    /** What is written or documented of an event. */
    private record Entry(Set<String> modules, Set<String> fields) {
        Entry() {
            this(new TreeSet<>(), new TreeSet<>());
        }
    }

    /** The events of a source; a line that is built in several statements takes the fields of the whole file. */
    private static void gather(String module, String source, Map<String, Entry> events) {
        String code = COMMENT.matcher(source).replaceAll("");
        Matcher event = EVENT.matcher(code);
        while (event.find()) {
            Entry entry = events.computeIfAbsent(event.group(1), _name -> new Entry());
            entry.modules().add(module);
            String statement = code.substring(event.end(), code.indexOf(';', event.end()));
            boolean isWhole = statement.contains("()")
                    && !code.substring(0, event.start()).stripTrailing().endsWith("=");
            Matcher field = FIELD.matcher(isWhole ? statement : code.substring(event.end()));
            while (field.find()) {
                entry.fields().add(field.group(1));
            }
        }
    }

    private static Map<String, Entry> written() throws IOException {
        Map<String, Entry> events = new TreeMap<>();
        for (String module : MODULES) {
            Path sources = ROOT.resolve(module).resolve("src/main/java");
            try (Stream<Path> files = Files.walk(sources)) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    gather(module, Files.readString(file), events);
                }
            }
        }
        return events;
    }

    private static Map<String, Entry> documented() throws IOException {
        Map<String, Entry> events = new TreeMap<>();
        for (String line : Files.readAllLines(ROOT.resolve("docs/EVENTS.md"))) {
            if (line.startsWith("| `")) {
                String[] cells = line.split("\\|", -1);
                Entry entry = new Entry();
                entry.modules().add(cells[2].strip());
                Matcher field = WORD.matcher(cells[3]);
                while (field.find()) {
                    entry.fields().add(field.group(1));
                }
                events.put(cells[1].strip().replace("`", ""), entry);
            }
        }
        return events;
    }

    @Nested
    final class ThePage {
        @Test
        void shouldNameEveryEventWithAllItsFieldsAndNoOthers() throws IOException {
            Map<String, Entry> written = written();
            Map<String, Entry> documented = documented();

            assertThat(documented.keySet()).containsExactlyElementsIn(written.keySet());
            written.forEach((event, entry) -> assertWithMessage("event %s", event)
                    .that(documented.get(event))
                    .isEqualTo(entry));
        }
    }

    @Nested
    final class TheComparison {
        @Test
        void shouldSeeEachFieldOfAStatement() {
            Map<String, Entry> events = new TreeMap<>();

            gather(
                    "m",
                    "a(); Log.event(\"x\")\n .with(\"b\", 1)\n .with(\n \"cMs\", f(2)).info(); y.with(\"d\");",
                    events);

            assertThat(events.get("x").fields()).containsExactly("b", "cMs");
        }

        @Test
        void shouldSeeTheFieldsOfALineThatIsBuiltInSteps() {
            Map<String, Entry> events = new TreeMap<>();

            gather("m", "Log line = Log.event(\"x\").with(\"b\", 1); line.with(\"c\", 2); line.info();", events);

            assertThat(events.get("x").fields()).containsExactly("b", "c");
        }

        @Test
        void shouldPassOverExamplesInComments() {
            Map<String, Entry> events = new TreeMap<>();

            gather("m", "/** {@code Log.event(\"x\").info();} */ class A {}", events);

            assertThat(events).isEmpty();
        }
    }
}
