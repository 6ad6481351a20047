package org.lovagegrade.cli.load;

import org.lovagegrade.cli.trace.LogLine;

/**
 * Accounts for the events of the product's own fleet. Each replica reports each command and decision, so that all of them
 * may come several times.
 */
final class FleetEvents {
    private static final String COMPLETED = "completed";

    private final LoadReport report;

    FleetEvents(LoadReport report) {
        this.report = report;
    }

    void add(LogLine line) {
        switch (line.event()) {
            case "submit" -> report.job(line.text("job")).workspace = line.text("team");
            case "applied" -> addCommand(line);
            case "decision" -> addDecision(line);
            case "refusal" -> {
                if (!line.text("job").isEmpty()) {
                    report.refuse(report.job(line.text("job")), line.text("reason"));
                }
            }
            default -> {}
        }
    }

    private void addCommand(LogLine line) {
        boolean isNew = !line.fields().path("repeated").asBoolean();
        boolean isDone = line.text("status").equals("OK");
        if (line.text("command").equals("SUBMIT") && isNew) {
            JobEntry job = report.job(line.text("object"));
            job.queue = line.text("workClass");
            job.tasks = line.fields().path("tasks").asLong();
            if (isDone) {
                report.accept(job);
            } else if (job.refusedRequests.add(line.text("requestId"))) {
                report.refuse(job, line.text("reason"));
            }
        } else if (line.text("command").equals("CANCEL") && isDone) {
            report.end(report.job(line.text("object")), JobOutcome.CANCELLED);
        }
    }

    private void addDecision(LogLine line) {
        JobEntry job = report.job(line.text("job"));
        switch (line.text("action")) {
            case "PLACE" -> report.start(job);
            case "END" -> {
                if (line.text("reason").equals(COMPLETED)) {
                    job.completedTasks.add(line.text("task"));
                }
                if (job.tasks > 0 && job.completedTasks.size() == job.tasks) {
                    report.end(job, JobOutcome.DONE);
                }
            }
            case "FAIL" -> {
                if (line.fields().path("task").asLong() < 0) {
                    report.end(job, JobOutcome.FAILED);
                }
            }
            default -> {}
        }
    }
}
