package org.lovagegrade.state.log;

import java.nio.file.Path;

/** Thrown at start, when a file is damaged at a place that a torn write can't explain; nothing is changed. */
public final class CorruptLogException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long offset;

    /**
     * Creates the exception.
     *
     * @param file the damaged file
     * @param offset where the damage begins, in bytes
     * @param expected what should stand there
     * @param found what stands there
     */
    public CorruptLogException(Path file, long offset, String expected, String found) {
        super("corrupt file\n    file: " + file + "\n  offset: " + offset + " bytes\nexpected: " + expected
                + "\n  actual: " + found);
        this.offset = offset;
    }

    /**
     * Where the damage begins.
     *
     * @return the offset in bytes
     */
    public long offset() {
        return offset;
    }
}
