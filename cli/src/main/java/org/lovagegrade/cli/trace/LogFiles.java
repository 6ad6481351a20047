package org.lovagegrade.cli.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.cli.UsageException;

/** Reads log files. */
public final class LogFiles {
    private LogFiles() {}

    /**
     * Reads log files; lines without an event are ignored.
     *
     * @param files the paths of the files, each with the lines of one or more processes
     * @return all lines with an event, file by file
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
            long lineNumber = 0;
            for (String text : content.split("\n", -1)) {
                lineNumber++;
                LogLine.parse(file.getFileName().toString(), lineNumber, text).ifPresent(lines::add);
            }
        } catch (IOException e) {
            throw new UsageException("a readable log file", file + ": " + e);
        }
        return lines;
    }
}
