package org.lovagegrade.cli;

import org.apache.commons.cli.Options;

/**
 * A command of the command line.
 *
 * @param name the name of the command
 * @param usage the arguments that follow the name, as shown in the help
 * @param summary what the command does, in one line
 * @param options the options of this command, without those that all commands share
 * @param action runs the command
 */
public record Command(String name, String usage, String summary, Options options, Action action) {
    /** Runs a command. */
    @FunctionalInterface
    public interface Action {
        /**
         * Runs the command.
         *
         * @param session the session that holds the parsed command line
         * @return the exit code
         * @throws UsageException if the command line is invalid; no request has been sent
         */
        ExitCode run(Session session) throws UsageException;
    }
}
