package org.lovagegrade.cli;

/** Thrown if the command line is invalid, before any request is sent. */
public final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param expected what the command line should contain
     * @param actual what it contains
     */
    public UsageException(String expected, String actual) {
        super("bad usage\nexpected: " + expected + "\n  actual: " + actual);
    }
}
