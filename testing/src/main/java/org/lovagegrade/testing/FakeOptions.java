package org.lovagegrade.testing;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line of a stand-in. */
public final class FakeOptions {
    private static final int EXIT_BAD_USAGE = 2;

    private final CommandLine line;

    private FakeOptions(CommandLine line) {
        this.line = line;
    }

    /**
     * Reads a command line; exits the process if it is wrong.
     *
     * @param args the command line
     * @param names the options known, each with one value
     * @return the options
     */
    public static FakeOptions parse(String[] args, String... names) {
        Options options = new Options();
        for (String name : names) {
            options.addOption(null, name, true, name);
        }
        try {
            return new FakeOptions(new DefaultParser().parse(options, args));
        } catch (ParseException e) {
            System.err.println(e.getMessage() + "; known: " + List.of(names));
            System.exit(EXIT_BAD_USAGE);
            throw new IllegalStateException("unreachable", e);
        }
    }

    /**
     * Reads a text.
     *
     * @param name the option
     * @param fallback the value if it is absent
     * @return the value
     */
    public String text(String name, String fallback) {
        return line.getOptionValue(name, fallback);
    }

    /**
     * Reads a whole number.
     *
     * @param name the option
     * @param fallback the value if it is absent
     * @return the value
     */
    public int number(String name, int fallback) {
        return Integer.parseInt(line.getOptionValue(name, "" + fallback));
    }

    /**
     * Reads a list.
     *
     * @param name the option
     * @return the values between commas
     */
    public List<String> list(String name) {
        return List.of(line.getOptionValue(name, "").split(","));
    }
}
