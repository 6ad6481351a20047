package org.lovagegrade.cli.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.cli.audit.internal.AuditRule;
import org.lovagegrade.cli.trace.LogLine;

/**
 * Goes through the lines of any processes and tells which promises they show to be broken. Lines of one process keep
 * their order even if its time of day jumps; between processes the time of day decides, so rules that compare processes
 * leave a second for their clocks.
 *
 * <p>Example: {@code LogAudit.of(lines).findings()}
 */
public final class LogAudit {
    private final List<LogLine> lines;
    private final List<Finding> findings = new ArrayList<>();

    private LogAudit(List<LogLine> lines) {
        this.lines = lines;
        AuditRule.all().forEach(this::check);
    }

    /**
     * Checks lines.
     *
     * @param lines lines of any processes
     * @return the result
     */
    public static LogAudit of(List<LogLine> lines) {
        Map<String, Long> latestMs = new TreeMap<>();
        List<Ordered> ordered = new ArrayList<>();
        for (LogLine line : lines) {
            long atMs = Math.max(line.atMs(), latestMs.getOrDefault(line.source(), Long.MIN_VALUE));
            latestMs.put(line.source(), atMs);
            ordered.add(new Ordered(atMs, line));
        }
        ordered.sort(Comparator.comparingLong(Ordered::atMs));
        return new LogAudit(ordered.stream().map(Ordered::line).toList());
    }

    /** A line and the time that puts it in order. */
    private record Ordered(long atMs, LogLine line) {}

    /**
     * The broken promises.
     *
     * @return the findings, rule by rule in the order of the lines; empty if the logs show none
     */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * How many jobs the logs show to be accepted.
     *
     * @return the number, to tell an audit that saw something from one that saw nothing
     */
    public long acceptedJobs() {
        return lines.stream()
                .filter(line -> line.event().equals("jobAccepted"))
                .map(line -> line.text("job"))
                .distinct()
                .count();
    }

    private void check(AuditRule rule) {
        AuditRule.Check check = rule.begin().get();
        for (LogLine line : lines) {
            check.see(line).ifPresent(context -> findings.add(new Finding(rule.promise(), line, context)));
        }
    }
}
