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
 * A promise that logs alone can show to be broken.
 *
 * @param promise the promise as a sentence
 * @param begin begins a pass that has seen nothing
 */
public record AuditRule(String promise, Supplier<Check> begin) {
    /** Processes' clocks may differ by this much where the order of two processes matters. */
    private static final long CLOCKS_DIFFER_MS = 1_000;

    /**
     * All rules.
     *
     * @return the rules, in the order in which an audit reports
     */
    public static List<AuditRule> all() {
        return List.of(
                new AuditRule("a term has one leader", AuditRule::oneLeaderATerm),
                new AuditRule("only a leader starts tasks", AuditRule::startsByLeadersOnly),
                new AuditRule("no task starts before its job is due", AuditRule::noEarlyStart),
                new AuditRule("nothing of a job starts after its end", AuditRule::noStartAfterTheEnd),
                new AuditRule("a job has one end", AuditRule::oneEndAJob),
                new AuditRule("an accepted job is known until its end", AuditRule::noLostJob),
                new AuditRule("a process never goes back to an older desired state", AuditRule::documentNeverGoesBack),
                new AuditRule("a worker never gets a lower fence", AuditRule::fenceNeverGoesBack),
                new AuditRule("no process ends by a broken invariant", AuditRule::noBrokenInvariant));
    }

    /** One pass over lines in their order. */
    @FunctionalInterface
    public interface Check {
        /**
         * Looks at the next line.
         *
         * @param line the line
         * @return what stands against it, if it shows the promise to be broken
         */
        Optional<String> see(LogLine line);
    }

    private static Check oneLeaderATerm() {
        Map<String, String> leaderOfTerm = new HashMap<>();
        return line -> {
            if (!line.event().equals("leadershipTaken")) {
                return Optional.empty();
            }
            String known = leaderOfTerm.putIfAbsent(line.text("term"), line.source());
            return known == null || known.equals(line.source())
                    ? Optional.empty()
                    : Optional.of("the term was led by " + known);
        };
    }

    private static Check startsByLeadersOnly() {
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
            return isEarly ? Optional.of("it was due " + line.text("sinceDueMs") + " ms after") : Optional.empty();
        };
    }

    private static Check noStartAfterTheEnd() {
        Map<String, LogLine> ends = new HashMap<>();
        return line -> {
            if (line.event().equals("jobOver")) {
                ends.put(line.text("job"), line);
            }
            if (!line.event().equals("startDecided")) {
                return Optional.empty();
            }
            LogLine end = ends.get(jobOfRun(line.text("run")));
            return end != null && isSurelyAfter(line, end)
                    ? Optional.of("the job was over as " + end.text("state"))
                    : Optional.empty();
        };
    }

    private static Check oneEndAJob() {
        Map<String, String> states = new HashMap<>();
        return line -> {
            if (!line.event().equals("jobOver")) {
                return Optional.empty();
            }
            String known = states.putIfAbsent(line.text("job"), line.text("state"));
            return known == null || known.equals(line.text("state"))
                    ? Optional.empty()
                    : Optional.of("it was over as " + known);
        };
    }

    private static Check noLostJob() {
        Map<String, LogLine> open = new HashMap<>();
        return line -> {
            switch (line.event()) {
                case "jobAccepted" -> open.put(line.text("job"), line);
                case "jobOver" -> open.remove(line.text("job"));
                default -> {}
            }
            if (!line.text("outcome").equals("CALLER_GONE")) {
                return Optional.empty();
            }
            String path = line.text("path");
            LogLine accepted = open.get(path.substring(path.lastIndexOf('/') + 1));
            return accepted != null && isSurelyAfter(line, accepted)
                    ? Optional.of(accepted.source() + " accepted it at " + accepted.atMs())
                    : Optional.empty();
        };
    }

    private static Check documentNeverGoesBack() {
        Map<String, Long> versions = new HashMap<>();
        return line -> {
            if (line.event().equals("started")) {
                versions.remove(line.source());
            }
            if (!line.event().equals("documentInForce")) {
                return Optional.empty();
            }
            long version = line.fields().path("version").asLong();
            long known = versions.merge(line.source(), version, Math::max);
            return known > version ? Optional.of("version " + known + " was in force") : Optional.empty();
        };
    }

    private static Check fenceNeverGoesBack() {
        Map<String, LogLine> highest = new HashMap<>();
        return line -> {
            if (!line.event().equals("workerIntroduced")) {
                return Optional.empty();
            }
            LogLine known = highest.get(line.text("worker"));
            boolean isLower = known != null && fence(line) < fence(known);
            if (!isLower) {
                highest.put(line.text("worker"), line);
            }
            return isLower && isSurelyAfter(line, known)
                    ? Optional.of(known.source() + " had fence " + fence(known))
                    : Optional.empty();
        };
    }

    private static Check noBrokenInvariant() {
        return line -> line.event().equals("brokenInvariant") ? Optional.of(line.text("error")) : Optional.empty();
    }

    private static long fence(LogLine line) {
        return line.fields().path("fence").asLong();
    }

    private static String jobOfRun(String run) {
        int dot = run.indexOf('.');
        return dot < 0 ? run : run.substring(0, dot);
    }

    private static boolean isSurelyAfter(LogLine later, LogLine earlier) {
        return later.source().equals(earlier.source()) || later.atMs() - earlier.atMs() > CLOCKS_DIFFER_MS;
    }
}
