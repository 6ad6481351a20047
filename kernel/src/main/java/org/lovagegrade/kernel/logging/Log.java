package org.lovagegrade.kernel.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * One line of the structured log: a JSON object that an auditor can follow by its ids.
 *
 * <p>Example: {@code Log.event("placed").with("job", job).with("worker", worker).info();}
 */
public final class Log {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Object> fields = new LinkedHashMap<>();

    private Log(String event) {
        fields.put("event", event);
    }

    /**
     * Begins a line.
     *
     * @param event what happened, in camelCase
     * @return a line to which fields may be added
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

    /** Writes the line at level info. */
    public void info() {
        Logger.info((Object) render("info"));
    }

    /** Writes the line at level warn. */
    public void warn() {
        Logger.warn((Object) render("warn"));
    }

    /** Writes the line at level error. */
    public void error() {
        Logger.error((Object) render("error"));
    }

    private String render(String level) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("atMs", System.currentTimeMillis());
        line.put("level", level);
        line.putAll(fields);
        try {
            return JSON.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("log field that is no JSON value: " + fields.keySet(), e);
        }
    }
}
