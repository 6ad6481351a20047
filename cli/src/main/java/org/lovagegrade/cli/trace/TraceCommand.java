package org.lovagegrade.cli.trace;

import java.util.List;
import org.apache.commons.cli.Options;
import org.lovagegrade.cli.Command;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.UsageException;

/** The command that follows an id through logs. */
public final class TraceCommand {
    private TraceCommand() {}

    /**
     * The command.
     *
     * @return {@code trace}
     */
    public static Command command() {
        return new Command(
                "trace",
                "ID FILE...",
                "tell from logs what became of a job, run or worker",
                new Options(),
                TraceCommand::run);
    }

    private static ExitCode run(Session session) throws UsageException {
        List<String> words = session.words();
        if (words.size() < 2) {
            throw new UsageException("an id and log files", words.toString());
        }
        List<LogLine> lines = LogFiles.read(words.subList(1, words.size()));
        Timeline timeline = Timeline.of(words.get(0), lines);
        for (LogLine line : timeline.lines()) {
            session.say(shown(line));
            session.sayJson(line.fields().toString());
        }
        session.say("cause: " + timeline.cause());
        return timeline.lines().isEmpty() ? ExitCode.REFUSED : ExitCode.DONE;
    }

    /**
     * Shows a line to people.
     *
     * @param line the line
     * @return its time, process, event and other fields
     */
    public static String shown(LogLine line) {
        StringBuilder text = new StringBuilder();
        text.append(line.atMs()).append(' ').append(line.source()).append(' ').append(line.event());
        line.fields().fields().forEachRemaining(field -> {
            boolean isShownAlready = List.of("atMs", "event", "level").contains(field.getKey());
            if (!isShownAlready) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }
}
