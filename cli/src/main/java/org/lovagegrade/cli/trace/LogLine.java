package org.lovagegrade.cli.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * A log line of a process.
 *
 * @param source the process: the last word before the JSON object, or else the name of the file
 * @param lineNumber the number of the line within its file, from 1
 * @param fields the JSON object
 */
public record LogLine(String source, long lineNumber, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Parses a line. A log collector may have put words before the JSON object; the last of them is the process.
     *
     * @param file the name of the file
     * @param lineNumber the number of the line, from 1
     * @param text the line
     * @return the line, or empty if it contains no event
     */
    public static Optional<LogLine> parse(String file, long lineNumber, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = JSON.readTree(text.substring(start));
            if (!fields.path("event").isTextual()) {
                return Optional.empty();
            }
            String prefix = text.substring(0, start).strip();
            String source = prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1);
            return Optional.of(new LogLine(source, lineNumber, fields));
        } catch (JsonProcessingException e) {
            // The line is truncated or not JSON.
            return Optional.empty();
        }
    }

    /**
     * Returns the name of the event.
     *
     * @return the name, in camelCase
     */
    public String event() {
        return fields.path("event").asText();
    }

    /**
     * Returns the wall-clock time of the process.
     *
     * @return milliseconds since the epoch
     */
    public long atMs() {
        return fields.path("atMs").asLong();
    }

    /**
     * Returns a field as text.
     *
     * @param name the name of the field
     * @return the text, or an empty string if the field is missing
     */
    public String text(String name) {
        return fields.path(name).asText("");
    }

    /**
     * Returns whether the line is about an id.
     *
     * @param id the id of a job, run, worker or call, or a version
     * @return true if a field equals the id, begins with the id and {@code .} or {@code #}, or ends with {@code /} and
     *     the id
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
