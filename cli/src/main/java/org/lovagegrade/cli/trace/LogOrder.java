package org.lovagegrade.cli.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Orders the lines of many processes by wall-clock time. Lines of one process keep their order even if its clock jumps
 * back.
 */
public final class LogOrder {
    private LogOrder() {}

    /**
     * Sorts lines.
     *
     * @param lines the lines, those of each process in the order in which it wrote them
     * @return the sorted lines
     */
    public static List<LogLine> sorted(List<LogLine> lines) {
        Map<String, Long> latestMsBySource = new TreeMap<>();
        List<TimedLine> timedLines = new ArrayList<>();
        for (LogLine line : lines) {
            long atMs = Math.max(line.atMs(), latestMsBySource.getOrDefault(line.source(), Long.MIN_VALUE));
            latestMsBySource.put(line.source(), atMs);
            timedLines.add(new TimedLine(atMs, line));
        }
        timedLines.sort(Comparator.comparingLong(TimedLine::atMs));
        return timedLines.stream().map(TimedLine::line).toList();
    }

    /** A line and its sort key: the latest time that its process had written so far. */
    private record TimedLine(long atMs, LogLine line) {}
}
