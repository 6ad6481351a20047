package org.lovagegrade.cli.commands;

import org.apache.commons.cli.Options;
import org.lovagegrade.cli.Command;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.Table;
import org.lovagegrade.cli.UsageException;
import org.lovagegrade.cli.api.ApiRequest;

/** The command with which operators evacuate failure domains and return them to service. */
public final class EvacuateCommand {
    private static final String COLLECTION = "evacuations";
    private static final String END = "end";
    private static final String SHOW = "show";

    private EvacuateCommand() {}

    /**
     * Returns the command.
     *
     * @return {@code evacuate}
     */
    public static Command command() {
        Options options = ConfigCommands.baseOptions();
        options.addOption(null, END, false, "return the failure domain to service");
        options.addOption(null, SHOW, false, "show all failure domains and what runs there");
        return new Command(
                "evacuate",
                "DOMAIN [--end] | --show",
                "start nothing more in a failure domain",
                options,
                EvacuateCommand::run);
    }

    private static ExitCode run(Session session) throws UsageException {
        if (session.hasOption(SHOW)) {
            return show(session);
        }
        String failureDomain = Arguments.required(session, 0, "a failure domain, or --show");
        if (session.arguments().size() > 1) {
            throw new UsageException("one failure domain", session.arguments().toString());
        }
        String method = session.hasOption(END) ? "DELETE" : "PUT";
        return ConfigCommands.send(session, method, COLLECTION, failureDomain, "");
    }

    private static ExitCode show(Session session) throws UsageException {
        if (session.hasOption(END) || !session.arguments().isEmpty()) {
            throw new UsageException("--show alone", "--show with a failure domain or --end");
        }
        Table table = Table.of("domain", "state", "entries", "workers", "tasks", "revision");
        return session.printReply(
                session.send(ApiRequest.get("/v1/evacuations")), (json, out) -> table.print(json.path("domains"), out));
    }
}
