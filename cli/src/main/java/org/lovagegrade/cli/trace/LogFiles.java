package org.lovagegrade.cli.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.cli.UsageException;

/** Reads the logs of processes. */
public final class LogFiles {
    private LogFiles() {}

    /**
     * Reads files; what holds no event is passed over.
     *
     * @param files the files, one or more processes in each
     * @return all lines with events
     * @throws UsageException if a file can't be read
     */
    public static List<LogLine> read(List<String> files) throws UsageException {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            lines.addAll(read(Path.of(file)));
        }
        return lines;
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
}
