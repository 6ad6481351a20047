package org.lovagegrade.cli.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * One line of a process's log.
 *
 * @param source the process: what stands before the JSON object, or the file's name
 * @param position the number of the line within its file
 * @param fields the JSON object
 */
public record LogLine(String source, long position, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads a line. Words may stand before the object, as a collector writes them; the last of them names the process.
     *
     * @param file the name of the file
     * @param position the number of the line
     * @param text the line
     * @return the line, or empty if it holds no event
     */
    public static Optional<LogLine> parse(String file, long position, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = JSON.readTree(text.substring(start));
            if (!fields.path("event").isTextual()) {
                return Optional.empty();
            }
            String before = text.substring(0, start).strip();
            String source = before.isEmpty() ? file : before.substring(before.lastIndexOf(' ') + 1);
            return Optional.of(new LogLine(source, position, fields));
        } catch (JsonProcessingException e) {
            // A line that was cut or is no event tells nothing; the caller counts it.
            return Optional.empty();
        }
    }

    /**
     * The event's name.
     *
     * @return the name, in camelCase
     */
    public String event() {
        return fields.path("event").asText();
    }

    /**
     * The time of day at the process.
     *
     * @return milliseconds since 1970
     */
    public long atMs() {
        return fields.path("atMs").asLong();
    }

    /**
     * Reads a field as text.
     *
     * @param name the name of the field
     * @return its text, or an empty one
     */
    public String text(String name) {
        return fields.path(name).asText("");
    }

    /**
     * Whether the line is about something.
     *
     * @param id the id of a job, run, worker or call, or a version
     * @return true if a field is the id, or begins with it and goes on with a separator, or ends with it after one
     */
    public boolean isAbout(String id) {
        for (JsonNode value : fields) {
            String text = value.asText();
            boolean isPart = text.startsWith(id + ".") || text.startsWith(id + "#") || text.endsWith("/" + id);
            if (text.equals(id) || isPart) {
                return true;
            }
        }
        return false;
    }
}
