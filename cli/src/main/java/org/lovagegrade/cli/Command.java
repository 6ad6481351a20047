package org.lovagegrade.cli;

import org.apache.commons.cli.Options;

/**
 * One command of the command line.
 *
 * @param name its name
 * @param usage the words that follow the name
 * @param summary what it does, in one line
 * @param options its own options
 * @param action what it does
 */
public record Command(String name, String usage, String summary, Options options, Action action) {
    /** Runs a command. */
    @FunctionalInterface
    public interface Action {
        /**
         * Runs.
         *
         * @param session the session
         * @return what to tell the shell
         * @throws UsageException if the command line is wrong; nothing was sent
         */
        ExitCode run(Session session) throws UsageException;
    }
}
