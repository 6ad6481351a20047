package org.lovagegrade.cli;

/** What the command line tells the shell. */
public enum ExitCode {
    /** The command was done. */
    DONE(0),
    /** The command was refused and did not run. */
    REFUSED(1),
    /** The command line is wrong; nothing was sent. */
    BAD_USAGE(2),
    /** The command may have run. */
    UNKNOWN(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * The number for the shell.
     *
     * @return from 0 to 3
     */
    public int code() {
        return code;
    }
}
