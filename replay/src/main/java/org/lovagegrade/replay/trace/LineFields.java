package org.lovagegrade.replay.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Iterator;
import java.util.OptionalLong;
import java.util.Set;

/** Reads and checks the fields of one line of a trace. */
final class LineFields {
    private static final double MAX_WHOLE_NUMBER = 1e15; // below 2^53, up to which doubles hold every whole number

    private final String file;
    private final long lineNumber;
    private final JsonNode node;
    private final Set<String> readFields = new HashSet<>();

    LineFields(String file, long lineNumber, JsonNode node) {
        this.file = file;
        this.lineNumber = lineNumber;
        this.node = node;
    }

    String requiredText(String field) throws MalformedTraceException {
        JsonNode value = get(field);
        if (value == null || !value.isTextual() || value.asText().isEmpty()) {
            throw malformed(field, "a text", value);
        }
        return value.asText();
    }

    double requiredDouble(String field) throws MalformedTraceException {
        JsonNode value = get(field);
        if (value == null || !value.isNumber()) {
            throw malformed(field, "a number", value);
        }
        return value.asDouble();
    }

    Double optionalDouble(String field) throws MalformedTraceException {
        return isAbsent(field) ? null : Double.valueOf(requiredDouble(field));
    }

    long requiredLong(String field) throws MalformedTraceException {
        double value = requiredDouble(field);
        if (value != Math.rint(value) || Math.abs(value) > MAX_WHOLE_NUMBER) {
            throw malformed(field, "a whole number", node.get(field));
        }
        return (long) value;
    }

    OptionalLong optionalLong(String field) throws MalformedTraceException {
        return isAbsent(field) ? OptionalLong.empty() : OptionalLong.of(requiredLong(field));
    }

    boolean requiredBoolean(String field) throws MalformedTraceException {
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

    /** Returns the names of the fields that have not been read. */
    Set<String> unreadFields() {
        Set<String> unreadFields = new HashSet<>();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!readFields.contains(name)) {
                unreadFields.add(name);
            }
        }
        return unreadFields;
    }

    MalformedTraceException malformed(String field, String expected, JsonNode actual) {
        return new MalformedTraceException(
                file, lineNumber, field, expected, actual == null ? "nothing" : actual.toString());
    }

    private JsonNode get(String field) {
        readFields.add(field);
        return node.get(field);
    }
}
