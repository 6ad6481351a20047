package org.lovagegrade.replay.trace;

/** Thrown if a line of a trace is malformed; the message names the file, the line and the field. */
public final class MalformedTraceException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file the trace
     * @param lineNumber the number of the line, from 1
     * @param field the invalid field
     * @param expected what the field should contain
     * @param actual what it contains
     */
    public MalformedTraceException(String file, long lineNumber, String field, String expected, String actual) {
        super("malformed trace\n    file: " + file + "\n    line: " + lineNumber + "\n   field: " + field
                + "\nexpected: " + expected + "\n  actual: " + actual);
    }
}
