package org.lovagegrade.cli;

/** The exit codes of {@code lovagegrade}. */
public enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The command was refused and did not run. */
    REFUSED(1),
    /** The command line is invalid; no request was sent. */
    BAD_USAGE(2),
    /** It is unknown whether the command ran. */
    OUTCOME_UNKNOWN(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return a number from 0 to 3
     */
    public int code() {
        return code;
    }
}
