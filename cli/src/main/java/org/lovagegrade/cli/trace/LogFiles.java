package org.lovagegrade.cli.trace;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import org.lovagegrade.cli.UsageException;

/** Reads log files, plain or compressed with gzip, and the standard input. */
public final class LogFiles {
    /** The argument that stands for the standard input. */
    public static final String STANDARD_INPUT = "-";

    private static final int GZIP_MAGIC_FIRST = 0x1f;
    private static final int GZIP_MAGIC_SECOND = 0x8b;

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
            try (Lines opened = open(file)) {
                for (Optional<LogLine> line = opened.next(); line.isPresent(); line = opened.next()) {
                    lines.add(line.get());
                }
            } catch (UncheckedIOException e) {
                throw unreadable(file, e.getCause());
            }
        }
        return lines;
    }

    /**
     * Opens a log file to read it line by line.
     *
     * @param file its path, or {@value #STANDARD_INPUT}
     * @return the lines, to be closed by the caller
     * @throws UsageException if the file can't be read
     */
    public static Lines open(String file) throws UsageException {
        try {
            boolean isStandardInput = file.equals(STANDARD_INPUT);
            InputStream input = isStandardInput ? System.in : Files.newInputStream(Path.of(file));
            String name = isStandardInput ? file : Path.of(file).getFileName().toString();
            return new Lines(
                    name, new BufferedReader(new InputStreamReader(decompressed(input), StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw unreadable(file, e);
        }
    }

    private static UsageException unreadable(String file, IOException cause) {
        return new UsageException("a readable log file", file + ": " + cause);
    }

    private static InputStream decompressed(InputStream input) throws IOException {
        BufferedInputStream buffered = new BufferedInputStream(input);
        buffered.mark(2);
        boolean isGzip = buffered.read() == GZIP_MAGIC_FIRST && buffered.read() == GZIP_MAGIC_SECOND;
        buffered.reset();
        return isGzip ? new GZIPInputStream(buffered) : buffered;
    }

    /** The lines of one file that have an event. */
    public static final class Lines implements AutoCloseable {
        private final String file;
        private final BufferedReader reader;
        private long lineNumber;

        private Lines(String file, BufferedReader reader) {
            this.file = file;
            this.reader = reader;
        }

        /**
         * Reads on to the next line with an event.
         *
         * @return the line, or empty at the end of the file
         * @throws UncheckedIOException if the file can't be read any further
         */
        public Optional<LogLine> next() {
            try {
                for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                    lineNumber++;
                    Optional<LogLine> line = LogLine.parse(file, lineNumber, text);
                    if (line.isPresent()) {
                        return line;
                    }
                }
                return Optional.empty();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void close() {
            try {
                reader.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
