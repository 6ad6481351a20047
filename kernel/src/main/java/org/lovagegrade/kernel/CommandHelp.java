package org.lovagegrade.kernel;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.help.HelpFormatter;

/** Prints the help of a command the same way in every program. */
public final class CommandHelp {
    private CommandHelp() {}

    /**
     * Prints to the standard output.
     *
     * @param usage the command and the words that follow it
     * @param summary what it does, in one line; may be empty
     * @param options its options
     */
    public static void print(String usage, String summary, Options options) {
        try {
            HelpFormatter.builder().setShowSince(false).get().printHelp(usage, summary, options, "", false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
