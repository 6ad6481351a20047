package org.lovagegrade.cli.audit.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.lovagegrade.cli.trace.LogLine;

/**
 * An invariant that can be checked from logs alone.
 *
 * @param invariant the invariant as a sentence
 * @param newCheck creates a check that has seen no lines
 */
public record AuditRule(String invariant, Supplier<Check> newCheck) {
    /** The assumed clock skew between two processes where the order of their lines matters. */
    private static final long MAX_CLOCK_SKEW_MS = 1_000;

    /**
     * Returns all rules.
     *
     * @return the rules, in the order in which an audit reports them
     */
    public static List<AuditRule> all() {
        return List.of(
                new AuditRule("a term has one leader", AuditRule::oneLeaderPerTerm),
                new AuditRule("only a leader starts tasks", AuditRule::startsOnlyByLeaders),
                new AuditRule("no task starts before its job is due", AuditRule::noEarlyStart),
                new AuditRule("nothing of a job starts after its end", AuditRule::noStartAfterEnd),
                new AuditRule("a job has one end", AuditRule::oneEndPerJob),
                new AuditRule("an accepted job is known until its end", AuditRule::noAcceptedJobLost),
                new AuditRule("all replicas apply the same commands and decisions", FleetRules::sameOnAllReplicas),
                new AuditRule("no task is placed after the end of its job", FleetRules::noPlacementAfterEnd),
                new AuditRule(
                        "a process never goes back to an older desired state",
                        AuditRule::configurationVersionNeverDecreases),
                new AuditRule("a worker never gets a lower fence", AuditRule::fencingTokenNeverDecreases),
                new AuditRule("no process ends by a broken invariant", AuditRule::noBrokenInvariant));
    }

    /** One pass over the lines in order. */
    @FunctionalInterface
    public interface Check {
        /**
         * Inspects the next line.
         *
         * @param line the line
         * @return why the line violates the invariant, or empty if it does not
         */
        Optional<String> inspect(LogLine line);
    }

    private static Check oneLeaderPerTerm() {
        Map<String, String> leaderByTerm = new HashMap<>();
        return line -> {
            if (!line.event().equals("leadershipTaken")) {
                return Optional.empty();
            }
            String previous = leaderByTerm.putIfAbsent(line.text("term"), line.source());
            return previous == null || previous.equals(line.source())
                    ? Optional.empty()
                    : Optional.of("the term was led by " + previous);
        };
    }

    private static Check startsOnlyByLeaders() {
        Set<String> leaders = new HashSet<>();
        return line -> {
            switch (line.event()) {
                case "leadershipTaken" -> leaders.add(line.source());
                case "leadershipLost", "started" -> leaders.remove(line.source());
                default -> {}
            }
            boolean isStart = line.event().equals("startDecided");
            return isStart && !leaders.contains(line.source())
                    ? Optional.of(line.source() + " has not taken leadership")
                    : Optional.empty();
        };
    }

    private static Check noEarlyStart() {
        return line -> {
            boolean isEarly = line.event().equals("startDecided")
                    && line.fields().path("sinceDueMs").asLong() < 0;
            return isEarly
                    ? Optional.of("it started " + line.text("sinceDueMs") + " ms after it was due")
                    : Optional.empty();
        };
    }

    private static Check noStartAfterEnd() {
        Map<String, LogLine> endByJob = new HashMap<>();
        return line -> {
            if (line.event().equals("jobOver")) {
                endByJob.put(line.text("job"), line);
            }
            if (!line.event().equals("startDecided")) {
                return Optional.empty();
            }
            LogLine end = endByJob.get(jobOfRun(line.text("run")));
            return end != null && isCertainlyAfter(line, end)
                    ? Optional.of("the job had finished as " + end.text("state"))
                    : Optional.empty();
        };
    }

    private static Check oneEndPerJob() {
        Map<String, String> endStateByJob = new HashMap<>();
        return line -> {
            if (!line.event().equals("jobOver")) {
                return Optional.empty();
            }
            String previous = endStateByJob.putIfAbsent(line.text("job"), line.text("state"));
            return previous == null || previous.equals(line.text("state"))
                    ? Optional.empty()
                    : Optional.of("it had finished as " + previous);
        };
    }

    private static Check noAcceptedJobLost() {
        Map<String, LogLine> unfinishedJobs = new HashMap<>();
        return line -> {
            switch (line.event()) {
                case "jobAccepted" -> unfinishedJobs.put(line.text("job"), line);
                case "jobOver" -> unfinishedJobs.remove(line.text("job"));
                default -> {}
            }
            if (!line.text("outcome").equals("CALLER_GONE")) {
                return Optional.empty();
            }
            String path = line.text("path");
            LogLine accepted = unfinishedJobs.get(path.substring(path.lastIndexOf('/') + 1));
            return accepted != null && isCertainlyAfter(line, accepted)
                    ? Optional.of(accepted.source() + " accepted it at " + accepted.atMs())
                    : Optional.empty();
        };
    }

    private static Check configurationVersionNeverDecreases() {
        Map<String, Long> highestVersionBySource = new HashMap<>();
        return line -> {
            if (line.event().equals("started")) {
                highestVersionBySource.remove(line.source());
            }
            if (!line.event().equals("documentInForce")) {
                return Optional.empty();
            }
            long version = line.fields().path("version").asLong();
            long previous = highestVersionBySource.merge(line.source(), version, Math::max);
            return previous > version ? Optional.of("version " + previous + " was already in force") : Optional.empty();
        };
    }

    private static Check fencingTokenNeverDecreases() {
        Map<String, LogLine> highestTokenByWorker = new HashMap<>();
        return line -> {
            if (!line.event().equals("workerIntroduced")) {
                return Optional.empty();
            }
            LogLine previous = highestTokenByWorker.get(line.text("worker"));
            boolean isLower = previous != null && fencingToken(line) < fencingToken(previous);
            if (!isLower) {
                highestTokenByWorker.put(line.text("worker"), line);
            }
            return isLower && isCertainlyAfter(line, previous)
                    ? Optional.of(previous.source() + " had fencing token " + fencingToken(previous))
                    : Optional.empty();
        };
    }

    private static Check noBrokenInvariant() {
        return line -> line.event().equals("brokenInvariant") ? Optional.of(line.text("error")) : Optional.empty();
    }

    private static long fencingToken(LogLine line) {
        return line.fields().path("fence").asLong();
    }

    private static String jobOfRun(String run) {
        int dot = run.indexOf('.');
        return dot < 0 ? run : run.substring(0, dot);
    }

    private static boolean isCertainlyAfter(LogLine later, LogLine earlier) {
        return later.source().equals(earlier.source()) || later.atMs() - earlier.atMs() > MAX_CLOCK_SKEW_MS;
    }
}
