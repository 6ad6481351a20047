package org.lovagegrade.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Policy;
import org.lovagegrade.kernel.CommandHelp;
import org.lovagegrade.replay.internal.ReplayLoop;
import org.lovagegrade.replay.internal.ReplayResult;
import org.lovagegrade.replay.report.HtmlReport;
import org.lovagegrade.replay.trace.MalformedTraceException;
import org.lovagegrade.replay.trace.TraceLine;
import org.lovagegrade.replay.trace.TraceReader;

/** The program {@code lovagegrade-replay}: replays a trace through the scheduler and checks the outcomes that the trace expects. */
public final class ReplayMain {
    /** The exit code if all expected outcomes were met. */
    public static final int EXIT_MET = 0;

    /** The exit code if an expected outcome was missed or an invariant was violated. */
    public static final int EXIT_MISSED = 1;

    /** The exit code for an invalid command line or a malformed or unreadable trace. */
    public static final int EXIT_BAD_INPUT = 2;

    private static final int MIN_LINES_FOR_PROGRESS_BAR = 20_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;

    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates the program.
     *
     * @param out receives the summary
     * @param err receives errors, violations, missed outcomes and warnings
     */
    public ReplayMain(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the program and exits with its exit code.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(new ReplayMain(System.out, System.err).run(args));
    }

    /**
     * Runs the program.
     *
     * @param args the command line
     * @return one of the exit codes of this class
     */
    public int run(String... args) {
        Options options = options();
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            if (commandLine.hasOption("help")) {
                CommandHelp.print("lovagegrade-replay --trace FILE", "", options);
                return EXIT_MET;
            }
            return run(commandLine);
        } catch (ParseException | MalformedTraceException e) {
            err.println(e.getMessage());
            return EXIT_BAD_INPUT;
        } catch (IOException e) {
            err.println(e.toString());
            return EXIT_BAD_INPUT;
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(null, "trace", true, "the trace file, JSON lines");
        options.addOption(null, "policy", true, "the policy; default: current");
        options.addOption(null, "start-delay-ms", true, "delay from placement to start of a task, in ms; default: 0");
        options.addOption(null, "decisions", true, "write the decisions to this file");
        options.addOption(null, "report", true, "write an HTML page that compares all policies to this folder");
        options.addOption(null, "json", false, "print the summary as one JSON object");
        options.addOption(null, "help", false, "show this help");
        return options;
    }

    private int run(CommandLine commandLine) throws ParseException, MalformedTraceException, IOException {
        if (!commandLine.hasOption("trace")) {
            throw new ParseException("expected: --trace FILE");
        }
        String name = commandLine.getOptionValue("policy", "current");
        Optional<Policy> policy = Policy.named(name);
        if (policy.isEmpty()) {
            throw new ParseException("expected: one of "
                    + Policy.all().stream().map(Policy::name).toList() + "\n  actual: --policy " + name);
        }
        long startDelayMs = startDelayMs(commandLine);
        Path trace = Path.of(commandLine.getOptionValue("trace"));
        List<TraceLine> lines = TraceReader.read(trace, err::println);
        Run run;
        if (commandLine.hasOption("decisions")) {
            try (DecisionWriter writer = DecisionWriter.to(Path.of(commandLine.getOptionValue("decisions")))) {
                run = replay(lines, policy.get(), startDelayMs, writer::write);
            }
        } else {
            run = replay(lines, policy.get(), startDelayMs, (_atMs, _decision) -> {});
        }
        printSummary(commandLine, run);
        if (commandLine.hasOption("report")) {
            writeReport(trace, lines, startDelayMs, Path.of(commandLine.getOptionValue("report")));
        }
        return checkOutcomes(lines, run);
    }

    private static long startDelayMs(CommandLine commandLine) throws ParseException {
        String text = commandLine.getOptionValue("start-delay-ms", "0");
        if (!text.matches("[0-9]{1,9}")) {
            throw new ParseException("expected: a whole number of milliseconds\n  actual: --start-delay-ms " + text);
        }
        return Long.parseLong(text);
    }

    /** The result of a replay, and its summary with the processor time and heap that it used. */
    private record Run(ReplayResult result, ObjectNode summary) {}

    private Run replay(
            List<TraceLine> lines, Policy policy, long startDelayMs, BiConsumer<Long, Decision> decisionSink) {
        ManagementFactory.getMemoryPoolMXBeans().forEach(MemoryPoolMXBean::resetPeakUsage);
        long startCpuNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        ReplayResult result;
        if (lines.size() >= MIN_LINES_FOR_PROGRESS_BAR) {
            try (ProgressBar bar = new ProgressBarBuilder()
                    .setTaskName(policy.name())
                    .setInitialMax(lines.size())
                    .build()) {
                result = runLoop(lines, policy, startDelayMs, decisionSink, bar::stepTo);
            }
        } else {
            result = runLoop(lines, policy, startDelayMs, decisionSink, _line -> {});
        }
        long usedCpuNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startCpuNs;
        return new Run(result, result.toJson(usedCpuNs / NANOS_PER_MS, peakHeapMb()));
    }

    private static ReplayResult runLoop(
            List<TraceLine> lines,
            Policy policy,
            long startDelayMs,
            BiConsumer<Long, Decision> decisionSink,
            LongConsumer progress) {
        return new ReplayLoop(lines, policy, startDelayMs, decisionSink, progress).run();
    }

    private static double peakHeapMb() {
        long bytes = ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP)
                .mapToLong(pool -> pool.getPeakUsage().getUsed())
                .sum();
        return bytes / BYTES_PER_MB;
    }

    private void printSummary(CommandLine commandLine, Run run) {
        if (commandLine.hasOption("json")) {
            out.println(run.summary());
        } else {
            printTable(run.summary(), "");
        }
    }

    private void printTable(JsonNode node, String prefix) {
        node.fields().forEachRemaining(field -> {
            if (field.getValue().isObject()) {
                printTable(field.getValue(), prefix + field.getKey() + ".");
            } else {
                out.printf("%-40s %s%n", prefix + field.getKey(), field.getValue());
            }
        });
    }

    private int checkOutcomes(List<TraceLine> lines, Run run) {
        run.result().violations().forEach(err::println);
        List<String> missed = ExpectedOutcomes.missed(lines, run.summary());
        missed.forEach(err::println);
        return missed.isEmpty() && run.result().violations().isEmpty() ? EXIT_MET : EXIT_MISSED;
    }

    private void writeReport(Path trace, List<TraceLine> lines, long startDelayMs, Path folder) throws IOException {
        HtmlReport report = HtmlReport.about(trace.getFileName().toString());
        for (Policy policy : Policy.all()) {
            Run run = replay(lines, policy, startDelayMs, (_atMs, _decision) -> {});
            report.with(policy.name(), run.result(), run.summary());
        }
        err.println("report: " + report.writeTo(folder));
    }
}
