package org.lovagegrade.cli.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The log lines about one id, in {@link LogOrder}, including each loss of a worker on which one of its runs was open.
 *
 * <p>Example: {@code Timeline.of("5c0e7a21d94b36f8", lines).cause()}
 */
public final class Timeline {
    /** Events that end all runs on a worker without a line for each run. */
    private static final Set<String> WORKER_LOSS_EVENTS = Set.of("workerLapsed", "workerGone");

    private final String id;
    private final List<LogLine> lines;
    private final long workersLost;

    private Timeline(String id, List<LogLine> lines, long workersLost) {
        this.id = id;
        this.workersLost = workersLost;
        this.lines = List.copyOf(lines);
    }

    /**
     * Builds the timeline of an id.
     *
     * @param id the id of a job, run, worker or call, or a version
     * @param allLines lines of any processes
     * @return the timeline, empty if no line is about the id
     */
    public static Timeline of(String id, List<LogLine> allLines) {
        List<LogLine> relevant = new ArrayList<>();
        Map<String, String> workerByOpenRun = new TreeMap<>();
        long workersLost = 0;
        for (LogLine line : LogOrder.sorted(allLines)) {
            if (line.isAbout(id)) {
                relevant.add(line);
                trackRun(line, workerByOpenRun);
            } else if (WORKER_LOSS_EVENTS.contains(line.event())
                    && workerByOpenRun.values().removeIf(line.text("worker")::equals)) {
                relevant.add(line);
                workersLost++;
            }
        }
        return new Timeline(id, relevant, workersLost);
    }

    /** Updates the workers of the runs that have started and not ended. */
    private static void trackRun(LogLine line, Map<String, String> workerByOpenRun) {
        switch (line.event()) {
            case "startDecided" -> workerByOpenRun.put(line.text("run"), line.text("worker"));
            case "runEnded", "runGivenUp", "runLost" -> workerByOpenRun.remove(line.text("run"));
            default -> {}
        }
    }

    /**
     * Returns the lines of the timeline.
     *
     * @return the lines, in order
     */
    public List<LogLine> lines() {
        return lines;
    }

    /**
     * Describes in one sentence how it ended and why, from the last line that reports an outcome.
     *
     * @return the sentence
     */
    public String cause() {
        return FleetJob.describe(id, lines).orElseGet(this::causeFromLastOutcome);
    }

    private String causeFromLastOutcome() {
        String cause = lines.isEmpty()
                ? "nothing in these logs is about " + id
                : "no end in these logs; the last event is "
                        + lines.get(lines.size() - 1).event();
        for (LogLine line : lines) {
            cause = causeAfter(line, cause);
        }
        return cause;
    }

    private String causeAfter(LogLine line, String previousCause) {
        return switch (line.event()) {
            case "callerRefused" ->
                "refused: " + line.text("outcome") + ", " + line.text("reason") + " (configuration version "
                        + line.text("documentVersion") + ")";
            case "requestUnanswered" ->
                line.fields().path("perhapsTaken").asBoolean()
                        ? "gave up without an answer from a leader; it may have been accepted"
                        : "refused: no leader accepted it; it has not run";
            case "submit" -> "passed on to the leader; its acceptance is not in these logs";
            case "refusal" -> "refused by an entry: " + line.text("reason") + "; it has not run";
            case "jobAccepted" -> "accepted; its end is not in these logs";
            case "jobOver" -> finished(line);
            default -> previousCause;
        };
    }

    private String finished(LogLine line) {
        long failed = count("runEnded", "how", "RUN_FAILED");
        long lost = count("runLost", "", "") + count("runEnded", "how", "RUN_LAPSED");
        long refused = count("startRefused", "", "");
        return "finished as " + line.text("state") + " after " + line.text("tookMs") + " ms; " + failed
                + " runs failed, " + lost + " were lost, " + workersLost + " workers were lost during its runs, "
                + refused + " starts were refused" + reasonForGivingUp();
    }

    private String reasonForGivingUp() {
        return lines.stream()
                .filter(line -> line.event().equals("jobGivenUp"))
                .findFirst()
                .map(line -> "; it was given up, since " + line.text("crashes") + " workers crashed under its task "
                        + line.text("task"))
                .orElse("");
    }

    private long count(String event, String field, String value) {
        return lines.stream()
                .filter(line -> line.event().equals(event))
                .filter(line -> field.isEmpty() || line.text(field).equals(value))
                .count();
    }
}
