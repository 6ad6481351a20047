package org.lovagegrade.state.log;

import java.nio.file.Path;

/** Thrown when a log or snapshot file is damaged in a way that a torn write can't explain; no file is changed then. */
public final class CorruptLogException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long offset;

    /**
     * Creates the exception.
     *
     * @param file the damaged file
     * @param offset the offset at which the damage begins, in bytes
     * @param expected what was expected at the offset
     * @param actual what was found instead
     */
    public CorruptLogException(Path file, long offset, String expected, String actual) {
        super("corrupt file\n    file: " + file + "\n  offset: " + offset + " bytes\nexpected: " + expected
                + "\n  actual: " + actual);
        this.offset = offset;
    }

    /**
     * The offset at which the damage begins.
     *
     * @return the offset in bytes
     */
    public long offset() {
        return offset;
    }
}
