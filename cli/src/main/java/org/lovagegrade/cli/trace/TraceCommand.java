package org.lovagegrade.cli.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
        List<LogLine> lines = new ArrayList<>();
        for (String file : words.subList(1, words.size())) {
            lines.addAll(read(Path.of(file)));
        }
        Timeline timeline = Timeline.of(words.get(0), lines);
        for (LogLine line : timeline.lines()) {
            session.say(shown(line));
            session.sayJson(line.fields().toString());
        }
        session.say("cause: " + timeline.cause());
        return timeline.lines().isEmpty() ? ExitCode.REFUSED : ExitCode.DONE;
    }

    private static List<LogLine> read(Path file) throws UsageException {
        List<LogLine> lines = new ArrayList<>();
        try {
            String content = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
            long position = 0;
            for (String text : content.split("\n", -1)) {
                position++;
                LogLine.parse(file.getFileName().toString(), position, text).ifPresent(lines::add);
            }
        } catch (IOException e) {
            throw new UsageException("a readable log file", file + ": " + e);
        }
        return lines;
    }

    private static String shown(LogLine line) {
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
