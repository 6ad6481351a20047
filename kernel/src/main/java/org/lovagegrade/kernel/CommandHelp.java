package org.lovagegrade.kernel;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.help.HelpFormatter;

/** Prints the help text of a command in the same format for every program. */
public final class CommandHelp {
    private CommandHelp() {}

    /**
     * Prints the help text to the standard output.
     *
     * @param usage the command and its arguments
     * @param summary what the command does, in one line; may be empty
     * @param options the options of the command
     */
    public static void print(String usage, String summary, Options options) {
        try {
            HelpFormatter.builder().setShowSince(false).get().printHelp(usage, summary, options, "", false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
