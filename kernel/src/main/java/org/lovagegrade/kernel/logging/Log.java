package org.lovagegrade.kernel.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * One line of the structured log: a JSON object with an event name and fields, among them the ids by which related events
 * can be found.
 *
 * <p>Example: {@code Log.event("placed").with("job", job).with("worker", worker).info();}
 */
public final class Log {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final LogWriter WRITER = new LogWriter();

    private final Map<String, Object> fields = new LinkedHashMap<>();

    private Log(String event) {
        fields.put("event", event);
    }

    /**
     * Starts a log line.
     *
     * @param event what happened, in camelCase
     * @return the line, to which fields can be added
     */
    public static Log event(String event) {
        return new Log(event);
    }

    /**
     * Adds a field.
     *
     * @param field the name of the field, with its unit as suffix
     * @param value a string, number or boolean
     * @return this line
     */
    public Log with(String field, Object value) {
        fields.put(field, value);
        return this;
    }

    /** Writes the line at level info asynchronously, without blocking; it is dropped and counted if the queue is full. */
    public void info() {
        write("info", Logger::info);
    }

    /** Writes the line at level warn, asynchronously like {@link #info()}. */
    public void warn() {
        write("warn", Logger::warn);
    }

    /** Writes the line at level error synchronously, for a process that is about to exit. */
    public void error() {
        Logger.error((Object) render("error"));
    }

    /** Waits until the queued lines are written, up to a time limit; to be called before the process exits. */
    public static void flush() {
        WRITER.flush();
    }

    private void write(String level, Consumer<Object> logger) {
        String line = render(level);
        WRITER.write(() -> logger.accept(line));
    }

    private String render(String level) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("atMs", System.currentTimeMillis());
        line.put("level", level);
        line.putAll(fields);
        try {
            return JSON.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a log field can't be written as JSON; fields: " + fields.keySet(), e);
        }
    }
}
