package org.lovagegrade.cli.audit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.apache.commons.cli.Options;
import org.lovagegrade.cli.Command;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.UsageException;
import org.lovagegrade.cli.trace.LogFiles;
import org.lovagegrade.cli.trace.TraceCommand;

/** The command {@code logs}, which checks logs for violated invariants. */
public final class LogsCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LogsCommand() {}

    /**
     * Returns the command.
     *
     * @return {@code logs}
     */
    public static Command command() {
        return new Command(
                "logs",
                "check FILE...",
                "find violated invariants in the logs of all processes",
                new Options(),
                LogsCommand::run);
    }

    private static ExitCode run(Session session) throws UsageException {
        List<String> arguments = session.arguments();
        if (arguments.size() < 2 || !arguments.get(0).equals("check")) {
            throw new UsageException("check and one or more log files", arguments.toString());
        }
        LogAudit audit = LogAudit.of(LogFiles.read(arguments.subList(1, arguments.size())));
        for (Finding finding : audit.findings()) {
            session.printText("violated: " + finding.invariant() + "\n  line: " + TraceCommand.format(finding.line())
                    + "\n  because: " + finding.context());
            session.printJson(json(finding).toString());
        }
        if (audit.acceptedJobs() == 0) {
            session.printError("expected: logs with accepted jobs\n  actual: no accepted job in "
                    + arguments.subList(1, arguments.size()) + "; invariants of jobs were not checked");
            return ExitCode.REFUSED;
        }
        session.printText(
                audit.findings().size() + " violations in the logs of " + audit.acceptedJobs() + " accepted jobs");
        return audit.findings().isEmpty() ? ExitCode.SUCCESS : ExitCode.REFUSED;
    }

    private static ObjectNode json(Finding finding) {
        ObjectNode json = JSON.createObjectNode();
        json.put("promise", finding.invariant());
        json.put("source", finding.line().source());
        json.put("context", finding.context());
        json.set("line", finding.line().fields());
        return json;
    }
}
