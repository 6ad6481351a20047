package org.lovagegrade.replay.trace;

/** Thrown when a line of a trace can't be read; names the file, the line and the field. */
public final class MalformedTraceException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file the trace
     * @param line the number of the line, from 1
     * @param field the field at fault
     * @param expected what it should hold
     * @param actual what it holds
     */
    public MalformedTraceException(String file, long line, String field, String expected, String actual) {
        super("malformed trace\n    file: " + file + "\n    line: " + line + "\n   field: " + field + "\nexpected: "
                + expected + "\n  actual: " + actual);
    }
}
