package org.lovagegrade.cli.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.lovagegrade.cli.UsageException;

/**
 * Merges the lines of many files by wall-clock time while it reads them, so that only one line of each file is held in
 * memory. The lines of one file keep their order.
 */
public final class LogMerge implements AutoCloseable {
    private final List<LogFiles.Lines> files = new ArrayList<>();
    private final PriorityQueue<Head> heads = new PriorityQueue<>(
            Comparator.comparingLong((Head head) -> head.line().atMs()).thenComparingInt(Head::file));

    /** The next line of a file. */
    private record Head(int file, LogLine line) {}

    private LogMerge() {}

    /**
     * Opens log files.
     *
     * @param names the paths of the files, or {@value LogFiles#STANDARD_INPUT}
     * @return the merged lines, to be closed by the caller
     * @throws UsageException if a file can't be read
     */
    public static LogMerge open(List<String> names) throws UsageException {
        LogMerge merge = new LogMerge();
        try {
            for (String name : names) {
                merge.files.add(LogFiles.open(name));
            }
        } catch (UsageException e) {
            merge.close();
            throw e;
        }
        for (int file = 0; file < merge.files.size(); file++) {
            merge.readHead(file);
        }
        return merge;
    }

    /**
     * Returns the next line of all files.
     *
     * @return the line, or empty after the last one
     * @throws java.io.UncheckedIOException if a file can't be read any further
     */
    public Optional<LogLine> next() {
        Head head = heads.poll();
        if (head == null) {
            return Optional.empty();
        }
        readHead(head.file());
        return Optional.of(head.line());
    }

    @Override
    public void close() {
        files.forEach(LogFiles.Lines::close);
    }

    private void readHead(int file) {
        files.get(file).next().ifPresent(line -> heads.add(new Head(file, line)));
    }
}
