package org.lovagegrade.cli.load;

import java.util.Locale;

/** By what a report groups its figures. */
enum Grouping {
    /** The queue of a job. */
    QUEUE,
    /** The workspace or team of a job. */
    WORKSPACE,
    /** The failure domain of the worker of a run. */
    DOMAIN,
    /** Spans of five seconds since the first line. */
    TIME;

    /** The name as an option of the command line. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
