package org.lovagegrade.cli.audit.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.cli.trace.LogLine;

/** Checks of the commands and decisions of the product's own fleet, which each replica reports with their log index. */
final class FleetRules {
    private FleetRules() {}

    static AuditRule.Check sameOnAllReplicas() {
        Map<String, LogLine> first = new HashMap<>();
        return line -> {
            boolean isReplicated =
                    line.event().equals("applied") || line.event().equals("decision");
            if (!isReplicated) {
                return Optional.empty();
            }
            LogLine other = first.putIfAbsent(place(line), line);
            return other == null || content(other).equals(content(line))
                    ? Optional.empty()
                    : Optional.of(other.source() + " has " + content(other) + " at index " + line.text("index"));
        };
    }

    /** One index may hold several decisions, each about another task or another attempt. */
    private static String place(LogLine line) {
        return String.join(
                " ",
                line.text("index"),
                line.text("job"),
                line.text("task"),
                line.text("attempt"),
                line.text("action"));
    }

    private static String content(LogLine line) {
        return String.join(
                " ",
                line.event(),
                line.text("command"),
                line.text("requestId"),
                line.text("object"),
                line.text("status"),
                line.text("worker"),
                line.text("reason"));
    }

    static AuditRule.Check noPlacementAfterEnd() {
        Map<String, Long> submitIndexByJob = new HashMap<>();
        Map<String, Long> endIndexByJob = new HashMap<>();
        return line -> {
            long index = line.fields().path("index").asLong();
            if (isCommand(line, "SUBMIT")) {
                submitIndexByJob.merge(line.text("object"), index, Math::max);
            } else if (isCommand(line, "CANCEL")) {
                endIndexByJob.putIfAbsent(line.text("object"), index);
            } else if (line.event().equals("decision")) {
                return inspectDecision(line, index, submitIndexByJob, endIndexByJob);
            }
            return Optional.empty();
        };
    }

    private static Optional<String> inspectDecision(
            LogLine line, long index, Map<String, Long> submitIndexByJob, Map<String, Long> endIndexByJob) {
        String job = line.text("job");
        boolean endsJob =
                line.text("action").equals("FAIL") && line.fields().path("task").asLong() < 0;
        if (endsJob) {
            endIndexByJob.putIfAbsent(job, index);
        }
        Long endIndex = endIndexByJob.get(job);
        boolean isPlacement = line.text("action").equals("PLACE");
        if (!isPlacement || endIndex == null || endIndex > index) {
            return Optional.empty();
        }
        boolean wasSubmittedAgain = submitIndexByJob.getOrDefault(job, 0L) > endIndex;
        return wasSubmittedAgain ? Optional.empty() : Optional.of("the job had ended at index " + endIndex);
    }

    private static boolean isCommand(LogLine line, String command) {
        return line.event().equals("applied")
                && line.text("command").equals(command)
                && line.text("status").equals("OK")
                && !line.fields().path("repeated").asBoolean();
    }
}
