package org.lovagegrade.cli.load;

import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;
import org.lovagegrade.cli.Command;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.UsageException;
import org.lovagegrade.cli.trace.LogLine;
import org.lovagegrade.cli.trace.LogMerge;

/** The command {@code load}, which accounts for jobs and capacity. */
public final class LoadCommand {
    private static final String BY = "by";

    private LoadCommand() {}

    /**
     * Returns the command.
     *
     * @return {@code load}
     */
    public static Command command() {
        Options options = new Options();
        options.addOption(null, BY, true, "queue, workspace, domain or time; default: a table of each");
        return new Command(
                "load",
                "FILE...",
                "show from logs how jobs were served and where capacity went",
                options,
                LoadCommand::run);
    }

    private static ExitCode run(Session session) throws UsageException {
        List<String> files = session.arguments();
        if (files.isEmpty()) {
            throw new UsageException("one or more log files, or - for the standard input", files.toString());
        }
        List<Grouping> groupings = groupings(session);
        LoadReport report = read(files);
        if (!report.hasJobs()) {
            session.printError(
                    "expected: lines about jobs\n  actual: none among " + report.lines() + " events in " + files);
            return ExitCode.REFUSED;
        }
        LoadOutput.print(report, groupings, session);
        return ExitCode.SUCCESS;
    }

    private static LoadReport read(List<String> files) throws UsageException {
        LoadReport report = new LoadReport();
        try (LogMerge merge = LogMerge.open(files)) {
            for (Optional<LogLine> line = merge.next(); line.isPresent(); line = merge.next()) {
                report.add(line.get());
            }
        } catch (UncheckedIOException e) {
            throw new UsageException("readable log files", files + ": " + e.getCause());
        }
        report.finish();
        return report;
    }

    private static List<Grouping> groupings(Session session) throws UsageException {
        if (!session.hasOption(BY)) {
            return List.of(Grouping.values());
        }
        return Arrays.stream(Grouping.values())
                .filter(grouping -> grouping.text().equals(session.option(BY)))
                .findFirst()
                .map(List::of)
                .orElseThrow(() -> new UsageException("--by queue, workspace, domain or time", session.option(BY)));
    }
}
