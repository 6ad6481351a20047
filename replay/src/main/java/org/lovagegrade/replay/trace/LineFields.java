package org.lovagegrade.replay.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Iterator;
import java.util.OptionalLong;
import java.util.Set;

/** Reads the fields of one line, each with its check. */
final class LineFields {
    private static final double MOST_WHOLE = 1e15;

    private final String file;
    private final long line;
    private final JsonNode node;
    private final Set<String> asked = new HashSet<>();

    LineFields(String file, long line, JsonNode node) {
        this.file = file;
        this.line = line;
        this.node = node;
    }

    String text(String field) throws MalformedTraceException {
        JsonNode value = get(field);
        if (value == null || !value.isTextual() || value.asText().isEmpty()) {
            throw malformed(field, "a text", value);
        }
        return value.asText();
    }

    double number(String field) throws MalformedTraceException {
        JsonNode value = get(field);
        if (value == null || !value.isNumber()) {
            throw malformed(field, "a number", value);
        }
        return value.asDouble();
    }

    Double optionalNumber(String field) throws MalformedTraceException {
        return isAbsent(field) ? null : Double.valueOf(number(field));
    }

    long whole(String field) throws MalformedTraceException {
        double value = number(field);
        if (value != Math.rint(value) || Math.abs(value) > MOST_WHOLE) {
            throw malformed(field, "a whole number", node.get(field));
        }
        return (long) value;
    }

    OptionalLong optionalWhole(String field) throws MalformedTraceException {
        return isAbsent(field) ? OptionalLong.empty() : OptionalLong.of(whole(field));
    }

    boolean flag(String field) throws MalformedTraceException {
        JsonNode value = get(field);
        if (value == null || !value.isBoolean()) {
            throw malformed(field, "true or false", value);
        }
        return value.asBoolean();
    }

    boolean isAbsent(String field) {
        JsonNode value = get(field);
        return value == null || value.isNull();
    }

    /** The fields that no reader asked for. */
    Set<String> unknown() {
        Set<String> unknown = new HashSet<>();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!asked.contains(name)) {
                unknown.add(name);
            }
        }
        return unknown;
    }

    MalformedTraceException malformed(String field, String expected, JsonNode actual) {
        return new MalformedTraceException(file, line, field, expected, actual == null ? "nothing" : actual.toString());
    }

    private JsonNode get(String field) {
        asked.add(field);
        return node.get(field);
    }
}
