package org.lovagegrade.cli.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagegrade.cli.audit.internal.AuditRule;
import org.lovagegrade.cli.trace.LogLine;
import org.lovagegrade.cli.trace.LogOrder;

/**
 * Checks the log lines of any processes, in {@link LogOrder}, for violated invariants. Rules that compare processes allow
 * for one second of clock skew.
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
     * Checks log lines.
     *
     * @param lines lines of any processes
     * @return the completed audit
     */
    public static LogAudit of(List<LogLine> lines) {
        return new LogAudit(LogOrder.sorted(lines));
    }

    /**
     * Returns the violations.
     *
     * @return the findings by rule, then in the order of the lines; empty if there are none
     */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Returns the number of accepted jobs in the logs, which shows whether the logs contained any work to check; jobs on
     * the product's own fleet as well as job graphs.
     *
     * @return the number of distinct jobs
     */
    public long acceptedJobs() {
        return lines.stream()
                .map(LogAudit::acceptedJob)
                .<String>mapMulti(Optional::ifPresent)
                .distinct()
                .count();
    }

    private static Optional<String> acceptedJob(LogLine line) {
        if (line.event().equals("jobAccepted")) {
            return Optional.of(line.text("job"));
        }
        boolean isAcceptance = line.event().equals("applied")
                && line.text("command").equals("SUBMIT")
                && line.text("status").equals("OK");
        return isAcceptance ? Optional.of(line.text("object")) : Optional.empty();
    }

    private void check(AuditRule rule) {
        AuditRule.Check check = rule.newCheck().get();
        for (LogLine line : lines) {
            check.inspect(line).ifPresent(context -> findings.add(new Finding(rule.invariant(), line, context)));
        }
    }
}
