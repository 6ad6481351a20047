package org.lovagegrade.cli.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What happened to one id, in {@link LogOrder}, and to the workers that ran something of it at the time.
 *
 * <p>Example: {@code Timeline.of("5c0e7a21d94b36f8", lines).cause()}
 */
public final class Timeline {
    /** What ends all runs on a worker, without a line for each. */
    private static final Set<String> LOSSES = Set.of("workerLapsed", "workerGone");

    private final String id;
    private final List<LogLine> lines;
    private final long lossesOfWorkers;

    private Timeline(String id, List<LogLine> lines, long lossesOfWorkers) {
        this.id = id;
        this.lossesOfWorkers = lossesOfWorkers;
        this.lines = List.copyOf(lines);
    }

    /**
     * Puts a timeline together.
     *
     * @param id the id to follow
     * @param all lines of any processes
     * @return the timeline, empty if nothing is about the id
     */
    public static Timeline of(String id, List<LogLine> all) {
        List<LogLine> found = new ArrayList<>();
        Map<String, String> workerOfOpenRun = new TreeMap<>();
        long losses = 0;
        for (LogLine line : LogOrder.sorted(all)) {
            if (line.isAbout(id)) {
                found.add(line);
                follow(line, workerOfOpenRun);
            } else if (LOSSES.contains(line.event())
                    && workerOfOpenRun.values().removeIf(line.text("worker")::equals)) {
                found.add(line);
                losses++;
            }
        }
        return new Timeline(id, found, losses);
    }

    /** Keeps the runs that have begun and not ended, with their workers. */
    private static void follow(LogLine line, Map<String, String> workerOfOpenRun) {
        switch (line.event()) {
            case "startDecided" -> workerOfOpenRun.put(line.text("run"), line.text("worker"));
            case "runEnded", "runGivenUp" -> workerOfOpenRun.remove(line.text("run"));
            default -> {}
        }
    }

    /**
     * The lines in order.
     *
     * @return the lines
     */
    public List<LogLine> lines() {
        return lines;
    }

    /**
     * Tells in one sentence how it ended and why, from the last line that says so.
     *
     * @return the sentence
     */
    public String cause() {
        String cause = lines.isEmpty()
                ? "nothing in these logs is about " + id
                : "no end in these logs; the last line is "
                        + lines.get(lines.size() - 1).event();
        for (LogLine line : lines) {
            cause = causeIn(line, cause);
        }
        return cause;
    }

    private String causeIn(LogLine line, String before) {
        return switch (line.event()) {
            case "callerRefused" ->
                "refused: " + line.text("outcome") + ", " + line.text("reason") + " (desired state "
                        + line.text("documentVersion") + ")";
            case "requestUnanswered" ->
                line.fields().path("perhapsTaken").asBoolean()
                        ? "given up without an answer of a leader; it may have been taken in"
                        : "refused: no leader took it in, it has not run";
            case "jobAccepted" -> "accepted, and not over in these logs";
            case "jobOver" -> over(line);
            default -> before;
        };
    }

    private String over(LogLine line) {
        long failed = count("runEnded", "how", "RUN_FAILED");
        long lost = count("runGivenUp", "how", "RUN_LOST") + count("runEnded", "how", "RUN_LAPSED");
        long refused = count("startRefused", "", "");
        return "over as " + line.text("state") + " after " + line.text("tookMs") + " ms; " + failed + " runs failed, "
                + lost + " were lost, " + lossesOfWorkers + " workers were lost with runs of it, " + refused
                + " starts were refused";
    }

    private long count(String event, String field, String value) {
        return lines.stream()
                .filter(line -> line.event().equals(event))
                .filter(line -> field.isEmpty() || line.text(field).equals(value))
                .count();
    }
}
