package org.lovagegrade.cli.commands;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.UsageException;

/** Reads the words and numbers of a command line. */
final class Words {
    private Words() {}

    static String at(Session session, int index, String expected) throws UsageException {
        List<String> words = session.words();
        if (words.size() <= index) {
            throw new UsageException(expected, "only " + words);
        }
        return words.get(index);
    }

    static double decimal(Session session, String option) throws UsageException {
        try {
            return Double.parseDouble(session.option(option));
        } catch (NumberFormatException e) {
            throw new UsageException("a number for --" + option, session.option(option));
        }
    }

    static long whole(Session session, String option) throws UsageException {
        try {
            return Long.parseLong(session.option(option));
        } catch (NumberFormatException e) {
            throw new UsageException("a whole number for --" + option, session.option(option));
        }
    }

    /** Copies a whole number from an option to a field, if the option is there. */
    static void putWhole(Session session, ObjectNode body, String option, String field) throws UsageException {
        if (session.has(option)) {
            body.put(field, whole(session, option));
        }
    }
}
