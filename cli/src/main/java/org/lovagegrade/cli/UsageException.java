package org.lovagegrade.cli;

/** Thrown when a command line is wrong, before anything is sent. */
public final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param expected what the command line should hold
     * @param actual what it holds
     */
    public UsageException(String expected, String actual) {
        super("bad usage\nexpected: " + expected + "\n  actual: " + actual);
    }
}
