package org.lovagegrade.cli.audit;

import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.cli.audit.internal.AuditRule;
import org.lovagegrade.cli.trace.LogLine;
import org.lovagegrade.cli.trace.LogOrder;

/**
 * Goes through the lines of any processes in their {@link LogOrder} and tells which promises they show to be broken. Rules
 * that compare processes leave a second for their clocks.
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
        return new LogAudit(LogOrder.sorted(lines));
    }

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
