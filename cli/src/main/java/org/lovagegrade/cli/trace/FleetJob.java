package org.lovagegrade.cli.trace;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The state of a job on the product's own fleet, from the commands and decisions that the replicas report. They are taken
 * in the order of the replicated log, since each replica reports them at its own time.
 */
final class FleetJob {
    private final Set<String> seen = new HashSet<>();
    private final Set<String> placedTasks = new HashSet<>();
    private final Set<String> completedTasks = new HashSet<>();
    private long acceptedAtMs;
    private long lastAtMs;
    private long tasks;
    private long otherEnds;
    private String end = "";

    private FleetJob() {}

    /**
     * Describes how a job ended.
     *
     * @param job its id
     * @param lines the lines about it
     * @return the description, or empty if no line is a command or a decision about this job
     */
    static Optional<String> describe(String job, List<LogLine> lines) {
        FleetJob state = new FleetJob();
        lines.stream()
                .filter(line -> isCommandAbout(job, line) || isDecisionAbout(job, line))
                .sorted(Comparator.comparingLong(FleetJob::index))
                .forEach(state::add);
        return state.seen.isEmpty() ? Optional.empty() : Optional.of(state.describe());
    }

    private static boolean isCommandAbout(String job, LogLine line) {
        boolean concernsJobs =
                line.text("command").equals("SUBMIT") || line.text("command").equals("CANCEL");
        return line.event().equals("applied")
                && concernsJobs
                && line.text("object").equals(job);
    }

    private static boolean isDecisionAbout(String job, LogLine line) {
        return line.event().equals("decision") && line.text("job").equals(job);
    }

    private static long index(LogLine line) {
        return line.fields().path("index").asLong();
    }

    private void add(LogLine line) {
        String identity = String.join(
                " ",
                line.text("index"),
                line.event(),
                line.text("action"),
                line.text("task"),
                line.text("attempt"),
                line.text("requestId"));
        if (!seen.add(identity)) {
            return;
        }
        if (line.event().equals("applied")) {
            addCommand(line);
        } else {
            addDecision(line);
        }
    }

    private void addCommand(LogLine line) {
        boolean isDone = line.text("status").equals("OK");
        boolean isRepeated = line.fields().path("repeated").asBoolean();
        if (line.text("command").equals("CANCEL")) {
            end = isDone && end.isEmpty() ? "cancelled" : end;
        } else if (isDone && !isRepeated) {
            acceptedAtMs = line.atMs();
            tasks = line.fields().path("tasks").asLong();
        } else if (!isDone) {
            end = "refused: " + line.text("reason");
        }
    }

    private void addDecision(LogLine line) {
        String task = line.text("task");
        switch (line.text("action")) {
            case "PLACE" -> placedTasks.add(task);
            case "END" -> {
                if (line.text("reason").equals("completed")) {
                    completedTasks.add(task);
                    lastAtMs = line.atMs();
                } else {
                    otherEnds++;
                }
            }
            case "LEASE_EXPIRED" -> otherEnds++;
            case "FAIL" -> {
                boolean isWholeJob = line.fields().path("task").asLong() < 0;
                end = isWholeJob && end.isEmpty() ? "failed: " + line.text("reason") : end;
                otherEnds += isWholeJob ? 0 : 1;
            }
            case "REFUSE" -> end = "refused: " + line.text("reason");
            case "DECIDED_SET_ASIDE" -> end = "set aside: " + line.text("reason");
            default -> {}
        }
    }

    private String describe() {
        String attempts = "; " + otherEnds + " attempts were stopped, lost or failed";
        long expected = tasks > 0 ? tasks : placedTasks.size();
        boolean isCompleted = expected > 0 && completedTasks.size() == expected;
        if (isCompleted && (end.isEmpty() || end.startsWith("set aside"))) {
            String which = tasks > 0 ? "all " + tasks + " tasks" : "all " + expected + " tasks that were placed";
            String duration = acceptedAtMs > 0 ? " after " + (lastAtMs - acceptedAtMs) + " ms" : "";
            return "completed" + duration + ", " + which + attempts;
        }
        if (!end.isEmpty()) {
            return end + attempts;
        }
        return "accepted; its end is not in these logs; " + completedTasks.size() + " of "
                + (tasks > 0 ? tasks + " tasks" : expected + " placed tasks") + " have completed" + attempts;
    }
}
