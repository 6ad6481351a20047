package org.lovagegrade.cli.load;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagegrade.cli.trace.LogLine;

/**
 * The account of jobs and capacity from the log lines of all processes, in the order of their time. It holds the jobs that
 * are not over, and those that ended shortly before, since their last runs may still end.
 *
 * <p>Example: {@code report.add(line); report.finish(); report.rows(Grouping.QUEUE)}
 */
final class LoadReport {
    static final String UNKNOWN = "(unknown)";
    static final long SPAN_MS = 5_000;
    /**
     * How many lines a job is kept after the last one about it, unless it is live. Counted in lines, since clocks of
     * processes may jump; 20 s or more at 2,500 lines a second.
     */
    private static final long RETENTION_LINES = 50_000;

    private static final int SPAN_NAME_WIDTH = 7;

    private final Map<Grouping, Map<String, LoadRow>> rows = new EnumMap<>(Grouping.class);
    private final Map<String, JobEntry> jobs = new HashMap<>();
    private final Map<String, String> domainByWorker = new HashMap<>();
    private final FleetEvents fleetEvents = new FleetEvents(this);
    private long firstMs = Long.MIN_VALUE;
    private long span;
    private long lines;
    /** The number of jobs that are accepted and have not started. */
    private long waiting;

    private boolean hasJobs;

    LoadReport() {
        for (Grouping grouping : Grouping.values()) {
            rows.put(grouping, new TreeMap<>());
        }
    }

    /** Accounts for the next line. */
    void add(LogLine line) {
        lines++;
        changeSpan(line.atMs());
        if (lines % RETENTION_LINES == 0) {
            jobs.values().removeIf(job -> !job.isLive() && job.lastLine < lines - RETENTION_LINES);
        }
        switch (line.event()) {
            case "jobAccepted" -> {
                JobEntry job = describedJob(line);
                accept(job);
            }
            case "jobOver" -> {
                JobEntry job = describedJob(line);
                accept(job);
                end(job, JobOutcome.of(line.text("result"), line.text("state")));
            }
            case "startDecided" -> start(jobOfStep(line.text("run")));
            case "runEnded", "runGivenUp", "runLost" -> endRun(line);
            case "adviceSettled" -> settleQuestion(line);
            case "workerIntroduced" -> domainByWorker.put(line.text("worker"), line.text("domain"));
            case "callerRefused" -> refuseCaller(line);
            case "requestUnanswered" -> refuseUnanswered(line);
            default -> fleetEvents.add(line);
        }
    }

    /** Completes the figures after the last line. */
    void finish() {
        countWaiting();
        jobs.values().forEach(job -> {
            if (job.isWaiting()) {
                groupsOf(job).forEach((grouping, name) -> row(grouping, name).add(Section.JOBS, "waiting", 1));
            }
            job.openCoreMs.forEach((place, coreMs) ->
                    forEachRow(job, place, row -> row.add(Section.CAPACITY, JobOutcome.OPEN.workColumn(), coreMs)));
        });
    }

    /** The figures by the name of the group. */
    Map<String, LoadRow> rows(Grouping grouping) {
        return rows.get(grouping);
    }

    /** Whether any line was about the submission, the acceptance or the end of a job. */
    boolean hasJobs() {
        return hasJobs;
    }

    /** The number of jobs that are held in memory. */
    int jobsInMemory() {
        return jobs.size();
    }

    /** The number of lines with an event. */
    long lines() {
        return lines;
    }

    // --- jobs

    JobEntry job(String id) {
        JobEntry job = jobs.computeIfAbsent(id, _id -> new JobEntry());
        job.lastLine = lines;
        return job;
    }

    private JobEntry jobOfStep(String stepOrRun) {
        int dot = stepOrRun.indexOf('.');
        return job(dot < 0 ? stepOrRun : stepOrRun.substring(0, dot));
    }

    private JobEntry describedJob(LogLine line) {
        JobEntry job = job(line.text("job"));
        job.queue = line.text("queue").isEmpty() ? job.queue : line.text("queue");
        job.workspace = line.text("workspace").isEmpty() ? job.workspace : line.text("workspace");
        return job;
    }

    void accept(JobEntry job) {
        hasJobs = true;
        if (!job.accepted) {
            change(job, () -> job.accepted = true);
            countJob(job, "submitted");
            countJob(job, "accepted");
        }
    }

    void start(JobEntry job) {
        change(job, () -> job.started = true);
    }

    private void change(JobEntry job, Runnable change) {
        waiting -= job.isWaiting() ? 1 : 0;
        change.run();
        waiting += job.isWaiting() ? 1 : 0;
    }

    void refuse(JobEntry job, String reason) {
        hasJobs = true;
        countJob(job, "submitted");
        countJob(job, "refused");
        forEachRow(job, null, row -> row.add(Section.REFUSED, reason, 1));
    }

    void end(JobEntry job, JobOutcome outcome) {
        if (job.outcome != JobOutcome.OPEN) {
            return;
        }
        change(job, () -> job.outcome = outcome);
        countJob(job, outcome.jobColumn());
        job.openCoreMs.forEach((place, coreMs) -> addWork(job, place, coreMs));
        job.openCoreMs.clear();
    }

    private void refuseCaller(LogLine line) {
        if (line.text("action").equals("SUBMIT_GRAPH")) {
            JobEntry described = new JobEntry();
            described.queue = line.text("queue");
            described.workspace = line.text("workspace");
            refuse(described, line.text("outcome"));
        }
    }

    private void refuseUnanswered(LogLine line) {
        boolean isRefused = line.text("action").equals("SUBMIT_GRAPH")
                && !line.fields().path("perhapsTaken").asBoolean();
        if (isRefused) {
            refuse(new JobEntry(), "NO_LEADER");
        }
    }

    private void countJob(JobEntry job, String column) {
        forEachRow(job, null, row -> row.add(Section.JOBS, column, 1));
    }

    // --- capacity and adviser

    private void endRun(LogLine line) {
        long coreMs = line.fields().path("coreMs").asLong();
        JobEntry job = jobOfStep(line.text("run"));
        if (coreMs == 0 || !job.endedRuns.add(line.text("run"))) {
            return;
        }
        JobEntry.Place place =
                new JobEntry.Place(span, orUnknown(domainByWorker.getOrDefault(line.text("worker"), "")));
        String waste = line.text("waste");
        if (waste.isEmpty() || waste.equals("NONE")) {
            addWork(job, place, coreMs);
            return;
        }
        long savedCoreMs = line.fields().path("savedCoreMs").asLong();
        addWaste(job, place, waste, coreMs - savedCoreMs);
        if (savedCoreMs > 0) {
            forEachRow(job, place, row -> row.add(Section.CAPACITY, "saved", savedCoreMs));
            addWork(job, place, savedCoreMs);
        }
    }

    /** Counts work with a result by the outcome of its job, or later if the job is not over. */
    private void addWork(JobEntry job, JobEntry.Place place, long coreMs) {
        if (job.outcome == JobOutcome.OPEN) {
            job.openCoreMs.merge(place, coreMs, Long::sum);
        } else if (job.outcome.isWaste()) {
            addWaste(job, place, job.outcome.workColumn(), coreMs);
        } else {
            forEachRow(job, place, row -> row.add(Section.CAPACITY, job.outcome.workColumn(), coreMs));
        }
    }

    private void addWaste(JobEntry job, JobEntry.Place place, String cause, long coreMs) {
        forEachRow(job, place, row -> {
            row.add(Section.CAPACITY, "wasted", coreMs);
            row.add(Section.WASTE, cause, coreMs);
        });
    }

    private void settleQuestion(LogLine line) {
        JobEntry job = jobOfStep(line.text("step"));
        boolean isAnswered = line.fields().path("answered").asBoolean();
        forEachRow(job, null, row -> {
            row.add(Section.ADVISER, "questions", 1);
            row.add(Section.ADVISER, "unanswered", isAnswered ? 0 : 1);
            row.add(Section.ADVISER, "tookMs", line.fields().path("tookMs").asLong());
        });
    }

    // --- rows and time

    private void forEachRow(JobEntry job, JobEntry.Place place, Consumer<LoadRow> change) {
        groupsOf(job).forEach((grouping, name) -> change.accept(row(grouping, name)));
        change.accept(row(Grouping.TIME, spanName(place == null ? span : place.span())));
        if (place != null) {
            change.accept(row(Grouping.DOMAIN, place.domain()));
        }
    }

    private static Map<Grouping, String> groupsOf(JobEntry job) {
        return Map.of(Grouping.QUEUE, orUnknown(job.queue), Grouping.WORKSPACE, orUnknown(job.workspace));
    }

    private static String orUnknown(String name) {
        return name.isEmpty() ? UNKNOWN : name;
    }

    private LoadRow row(Grouping grouping, String name) {
        return rows.get(grouping).computeIfAbsent(name, _name -> new LoadRow());
    }

    /** The start of a span; padded, so that the names of spans sort by time. */
    private static String spanName(long span) {
        String seconds = Long.toString(span * SPAN_MS / 1_000);
        return " ".repeat(Math.max(0, SPAN_NAME_WIDTH - seconds.length())) + seconds + " s";
    }

    private void changeSpan(long atMs) {
        firstMs = firstMs == Long.MIN_VALUE ? atMs : firstMs;
        long newSpan = Math.floorDiv(atMs - firstMs, SPAN_MS);
        if (newSpan != span) {
            countWaiting();
            span = newSpan;
        }
    }

    /** Counts the jobs that wait at the end of the present span. */
    private void countWaiting() {
        if (hasJobs) {
            row(Grouping.TIME, spanName(span)).set(Section.JOBS, "waiting", waiting);
        }
    }
}
