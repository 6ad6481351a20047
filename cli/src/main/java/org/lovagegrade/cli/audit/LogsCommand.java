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

/** The command that audits logs. */
public final class LogsCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LogsCommand() {}

    /**
     * The command.
     *
     * @return {@code logs}
     */
    public static Command command() {
        return new Command(
                "logs",
                "check FILE...",
                "find broken promises in the logs of all processes",
                new Options(),
                LogsCommand::run);
    }

    private static ExitCode run(Session session) throws UsageException {
        List<String> words = session.words();
        if (words.size() < 2 || !words.get(0).equals("check")) {
            throw new UsageException("check and log files", words.toString());
        }
        LogAudit audit = LogAudit.of(LogFiles.read(words.subList(1, words.size())));
        for (Finding finding : audit.findings()) {
            session.say("broken: " + finding.promise() + "\n  line: " + TraceCommand.shown(finding.line())
                    + "\n  against: " + finding.context());
            session.sayJson(json(finding).toString());
        }
        session.say(
                audit.findings().size() + " broken promises in the logs of " + audit.acceptedJobs() + " accepted jobs");
        return audit.findings().isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static ObjectNode json(Finding finding) {
        ObjectNode json = JSON.createObjectNode();
        json.put("promise", finding.promise());
        json.put("source", finding.line().source());
        json.put("context", finding.context());
        json.set("line", finding.line().fields());
        return json;
    }
}
