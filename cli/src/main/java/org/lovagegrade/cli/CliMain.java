package org.lovagegrade.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lovagegrade.cli.audit.LogsCommand;
import org.lovagegrade.cli.commands.ConfigCommands;
import org.lovagegrade.cli.commands.EvacuateCommand;
import org.lovagegrade.cli.commands.JobCommands;
import org.lovagegrade.cli.load.LoadCommand;
import org.lovagegrade.cli.trace.TraceCommand;
import org.lovagegrade.kernel.CommandHelp;

/** The program {@code lovagegrade}: the command line of operators and submitters. */
public final class CliMain {
    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final List<Command> commands = new ArrayList<>();

    private CliMain(Map<String, String> environment, PrintStream out, PrintStream err) {
        this.environment = environment;
        this.out = out;
        this.err = err;
        commands.addAll(ConfigCommands.all());
        commands.add(EvacuateCommand.command());
        commands.addAll(JobCommands.all());
        commands.add(TraceCommand.command());
        commands.add(LogsCommand.command());
        commands.add(LoadCommand.command());
    }

    /**
     * Runs the program and exits with the code of an {@link ExitCode}.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        CliMain cli = new CliMain(System.getenv(), System.out, System.err);
        System.exit(cli.run(args).code());
    }

    /**
     * Creates the program with the given environment and streams, for tests.
     *
     * @param environment the environment variables
     * @param out receives the output
     * @param err receives usage errors and refusals
     * @return the program
     */
    public static CliMain withStreams(Map<String, String> environment, PrintStream out, PrintStream err) {
        return new CliMain(environment, out, err);
    }

    /**
     * Parses the command line and runs the command that it names.
     *
     * @param args the command line
     * @return the exit code
     */
    public ExitCode run(String... args) {
        if (args.length == 0 || args[0].equals("--help")) {
            printOverview(args.length == 0 ? err : out);
            return args.length == 0 ? ExitCode.BAD_USAGE : ExitCode.SUCCESS;
        }
        Optional<Command> command = commands.stream()
                .filter(candidate -> candidate.name().equals(args[0]))
                .findFirst();
        if (command.isEmpty()) {
            err.println("bad usage\nexpected: one of "
                    + commands.stream().map(Command::name).toList() + "\n  actual: " + args[0]);
            return ExitCode.BAD_USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length));
    }

    private ExitCode run(Command command, String[] args) {
        Options options = sharedOptions();
        command.options().getOptions().forEach(options::addOption);
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            if (commandLine.hasOption("help")) {
                CommandHelp.print("lovagegrade " + command.name() + " " + command.usage(), command.summary(), options);
                return ExitCode.SUCCESS;
            }
            try (Session session = new Session(commandLine, environment, out, err)) {
                return command.action().run(session);
            }
        } catch (ParseException | UsageException e) {
            err.println(e.getMessage());
            return ExitCode.BAD_USAGE;
        }
    }

    private static Options sharedOptions() {
        Options options = new Options();
        options.addOption(null, "help", false, "show this help");
        options.addOption(null, "json", false, "print the response body unchanged");
        options.addOption(null, "entry", true, "addresses of entries, host:port[,host:port]; or LOVAGEGRADE_ENTRY");
        options.addOption(null, "key", true, "the team's key; or LOVAGEGRADE_KEY");
        options.addOption(null, "operator-key", true, "the operator's key; or LOVAGEGRADE_OPERATOR_KEY");
        options.addOption(
                null, "operator", true, "the operator's name, recorded with each change; or LOVAGEGRADE_OPERATOR");
        options.addOption(
                null, "request-id", true, "the id that identifies retries of one request; default: a new one");
        return options;
    }

    private void printOverview(PrintStream stream) {
        stream.println("usage: lovagegrade COMMAND [OPTIONS]\n\ncommands:");
        commands.forEach(
                command -> stream.printf("  %-8s %-30s %s%n", command.name(), command.usage(), command.summary()));
        stream.println("\n'lovagegrade COMMAND --help' shows a command's options.");
        stream.println("exit codes: 0 done, 1 refused (did not run), 2 bad usage, 3 unknown whether it ran");
    }
}
