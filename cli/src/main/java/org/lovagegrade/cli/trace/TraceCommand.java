package org.lovagegrade.cli.trace;

import java.util.List;
import org.apache.commons.cli.Options;
import org.lovagegrade.cli.Command;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.UsageException;

/** The command {@code trace}, which follows an id through logs. */
public final class TraceCommand {
    private TraceCommand() {}

    /**
     * Returns the command.
     *
     * @return {@code trace}
     */
    public static Command command() {
        return new Command(
                "trace",
                "ID FILE...",
                "show from logs what happened to a job, run or worker",
                new Options(),
                TraceCommand::run);
    }

    private static ExitCode run(Session session) throws UsageException {
        List<String> arguments = session.arguments();
        if (arguments.size() < 2) {
            throw new UsageException("an id and one or more log files", arguments.toString());
        }
        List<LogLine> lines = LogFiles.read(arguments.subList(1, arguments.size()));
        Timeline timeline = Timeline.of(arguments.get(0), lines);
        for (LogLine line : timeline.lines()) {
            session.printText(format(line));
            session.printJson(line.fields().toString());
        }
        session.printText("cause: " + timeline.cause());
        return timeline.lines().isEmpty() ? ExitCode.REFUSED : ExitCode.SUCCESS;
    }

    /**
     * Formats a line as text.
     *
     * @param line the line
     * @return its time, process, event and other fields
     */
    public static String format(LogLine line) {
        StringBuilder text = new StringBuilder();
        text.append(line.atMs()).append(' ').append(line.source()).append(' ').append(line.event());
        line.fields().fields().forEachRemaining(field -> {
            boolean isAlreadyPrinted = List.of("atMs", "event", "level").contains(field.getKey());
            if (!isAlreadyPrinted) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }
}
