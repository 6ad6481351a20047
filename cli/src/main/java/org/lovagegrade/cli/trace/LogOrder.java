package org.lovagegrade.cli.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The order of lines of many processes: lines of one process keep theirs even if its time of day jumps back; between
 * processes the time of day decides.
 */
public final class LogOrder {
    private LogOrder() {}

    /**
     * Puts lines in order.
     *
     * @param lines the lines, those of one process in the order in which it wrote them
     * @return the same lines in order
     */
    public static List<LogLine> sorted(List<LogLine> lines) {
        Map<String, Long> latestMs = new TreeMap<>();
        List<Timed> timed = new ArrayList<>();
        for (LogLine line : lines) {
            long atMs = Math.max(line.atMs(), latestMs.getOrDefault(line.source(), Long.MIN_VALUE));
            latestMs.put(line.source(), atMs);
            timed.add(new Timed(atMs, line));
        }
        timed.sort(Comparator.comparingLong(Timed::atMs));
        return timed.stream().map(Timed::line).toList();
    }

    /** A line and the time that puts it in order. */
    private record Timed(long atMs, LogLine line) {}
}
