package org.lovagegrade.cli.commands;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.UsageException;

/** Reads and checks arguments and options of a command. */
final class Arguments {
    private Arguments() {}

    static String required(Session session, int index, String expected) throws UsageException {
        List<String> arguments = session.arguments();
        if (arguments.size() <= index) {
            throw new UsageException(expected, "only " + arguments);
        }
        return arguments.get(index);
    }

    static double doubleOption(Session session, String option) throws UsageException {
        try {
            return Double.parseDouble(session.option(option));
        } catch (NumberFormatException e) {
            throw new UsageException("a number for --" + option, session.option(option));
        }
    }

    static long longOption(Session session, String option) throws UsageException {
        try {
            return Long.parseLong(session.option(option));
        } catch (NumberFormatException e) {
            throw new UsageException("a whole number for --" + option, session.option(option));
        }
    }

    /** Sets a field to the whole number of an option, if the option is present. */
    static void putLongOption(Session session, ObjectNode body, String option, String field) throws UsageException {
        if (session.hasOption(option)) {
            body.put(field, longOption(session, option));
        }
    }
}
