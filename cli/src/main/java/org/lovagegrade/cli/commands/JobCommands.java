package org.lovagegrade.cli.commands;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.cli.Options;
import org.lovagegrade.cli.Command;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.Table;
import org.lovagegrade.cli.UsageException;
import org.lovagegrade.cli.api.ApiClient;
import org.lovagegrade.cli.api.ApiReply;
import org.lovagegrade.cli.api.ApiRequest;

/** The commands with which workspaces submit, cancel and watch jobs, and call services. */
public final class JobCommands {
    private static final long POLL_INTERVAL_MS = 300;
    private static final Set<String> FINISHED_STATES = Set.of("ended", "failed", "cancelled", "set_aside");
    private static final double PERCENT = 100;

    private JobCommands() {}

    /**
     * Returns the commands.
     *
     * @return {@code submit}, {@code cancel}, {@code show}, {@code explain}, {@code status} and {@code call}
     */
    public static List<Command> all() {
        return List.of(
                new Command("submit", "", "submit a job with a team's key", submitOptions(), JobCommands::submit),
                new Command("cancel", "JOB", "cancel a job", new Options(), JobCommands::cancel),
                new Command("show", "[JOB]", "show one job or all", new Options(), JobCommands::showJobs),
                new Command("explain", "JOB", "explain why a job waits", new Options(), JobCommands::explain),
                new Command("status", "", "show replicas, entries, workers", new Options(), JobCommands::status),
                new Command("call", "SERVICE [PATH]", "send a call to a service", callOptions(), JobCommands::call));
    }

    private static Options submitOptions() {
        Options options = new Options();
        options.addOption(null, "id", true, "the job's id; default: the request id");
        options.addOption(null, "class", true, "the work class");
        options.addOption(null, "tasks", true, "the number of tasks; default: 1");
        options.addOption(null, "cores", true, "cores per task");
        options.addOption(null, "memory-mb", true, "memory per task, in MB");
        options.addOption(null, "accelerators", true, "accelerators per task");
        options.addOption(null, "declared-run-ms", true, "expected run time of a task, in ms");
        options.addOption(null, "payload", true, "a text for the worker");
        options.addOption(null, "wait", false, "show progress until the job is finished");
        return options;
    }

    private static Options callOptions() {
        Options options = new Options();
        options.addOption(null, "class", true, "the work class");
        options.addOption(null, "method", true, "the HTTP method; default: GET");
        options.addOption(null, "body", true, "the request body");
        options.addOption(null, "idempotent", false, "the call may run more than once");
        options.addOption(null, "deadline-ms", true, "deadline of the call, in ms from now");
        return options;
    }

    private static ExitCode submit(Session session) throws UsageException {
        if (!session.hasOption("class")) {
            throw new UsageException("--class CLASS", "no --class");
        }
        ObjectNode body = ApiClient.newObject().put("class", session.option("class"));
        if (session.hasOption("id")) {
            body.put("id", session.option("id"));
        }
        if (session.hasOption("cores")) {
            body.put("cores", Arguments.doubleOption(session, "cores"));
        }
        if (session.hasOption("payload")) {
            body.put("payload", session.option("payload"));
        }
        body.put("tasks", session.hasOption("tasks") ? Arguments.longOption(session, "tasks") : 1);
        Arguments.putLongOption(session, body, "memory-mb", "memoryMb");
        Arguments.putLongOption(session, body, "accelerators", "accelerators");
        Arguments.putLongOption(session, body, "declared-run-ms", "declaredRunMs");
        ApiReply reply = session.send(
                ApiRequest.command("POST", "/v1/jobs", session.requestId("job")).withBody(body.toString()));
        ExitCode exitCode = session.printReply(
                reply, (json, out) -> out.println("job " + json.path("job").asText() + " accepted"));
        return reply.isSuccess() && session.hasOption("wait")
                ? followUntilFinished(session, reply.json().path("job").asText())
                : exitCode;
    }

    private static ExitCode followUntilFinished(Session session, String job) {
        String lastProgress = "";
        while (true) {
            ApiReply reply = session.send(ApiRequest.get("/v1/jobs/" + job));
            if (!reply.isSuccess()) {
                return session.printReply(reply, (_json, _out) -> {});
            }
            String progress = progress(reply.json());
            if (!progress.equals(lastProgress)) {
                session.printText(progress);
                lastProgress = progress;
            }
            String state = reply.json().path("state").asText();
            if (FINISHED_STATES.contains(state)) {
                return state.equals("ended") ? ExitCode.SUCCESS : ExitCode.REFUSED;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return ExitCode.OUTCOME_UNKNOWN;
            }
        }
    }

    private static String progress(JsonNode job) {
        return String.format(
                Locale.ROOT,
                "job %s %s: %d of %d tasks ended, %d running%s",
                job.path("id").asText(),
                job.path("state").asText(),
                job.path("ended").asLong(),
                job.path("tasks").asLong(),
                job.path("running").asLong(),
                job.path("reason").asText().isEmpty()
                        ? ""
                        : " (" + job.path("reason").asText() + ")");
    }

    private static ExitCode cancel(Session session) throws UsageException {
        String job = Arguments.required(session, 0, "a job's id");
        ApiReply reply = session.send(ApiRequest.command("DELETE", "/v1/jobs/" + job, session.requestId("cancel")));
        return session.printReply(reply, (_json, out) -> out.println("job " + job + " cancelled"));
    }

    private static ExitCode showJobs(Session session) {
        if (session.arguments().isEmpty()) {
            ApiReply reply = session.send(ApiRequest.get("/v1/jobs"));
            Table table = Table.of("id", "team", "class", "state", "reason", "tasks", "running", "ended");
            return session.printReply(reply, (json, out) -> table.print(json.path("jobs"), out));
        }
        ApiReply reply =
                session.send(ApiRequest.get("/v1/jobs/" + session.arguments().get(0)));
        Table table = Table.of("index", "state", "attempt", "worker", "lastReason");
        return session.printReply(reply, (json, out) -> {
            out.println(progress(json));
            table.print(json.path("taskList"), out);
        });
    }

    private static ExitCode explain(Session session) throws UsageException {
        String job = Arguments.required(session, 0, "a job's id");
        ApiReply reply = session.send(ApiRequest.get("/v1/jobs/" + job + "/explain"));
        return session.printReply(reply, JobCommands::printExplanation);
    }

    private static void printExplanation(JsonNode json, PrintStream out) {
        out.println("job " + json.path("id").asText() + ": " + json.path("text").asText());
        out.println("  reason: " + json.path("reason").asText());
        long targetMs = json.path("waitTargetMs").asLong();
        out.println("  waited: " + json.path("waitedMs").asLong() + " ms"
                + (targetMs > 0 ? ", target: " + targetMs + " ms" : ", no target"));
        out.printf(
                Locale.ROOT,
                "  team: uses %.1f%% of the cell, share %.1f%%%n",
                json.path("teamUse").asDouble() * PERCENT,
                json.path("teamShare").asDouble() * PERCENT);
    }

    private static ExitCode status(Session session) {
        ApiReply reply = session.send(ApiRequest.get("/v1/status"));
        return session.printReply(reply, (json, out) -> {
            out.println("leader " + json.path("leader").asText() + ", revision "
                    + json.path("revision").asLong() + ", commit index "
                    + json.path("commitIndex").asLong());
            out.println("voters " + json.path("voters") + ", learners " + json.path("learners"));
            out.println();
            Table.of("id", "failureDomain", "revision", "heardMsAgo").print(json.path("entries"), out);
            out.println();
            Table.of("id", "failureDomain", "rack", "cores", "freeCores", "memoryMb", "tasks", "silent", "suspect")
                    .print(json.path("workers"), out);
            out.println();
            Table.of("id", "service", "slots", "free", "usable", "epoch").print(json.path("endpointsHere"), out);
        });
    }

    private static ExitCode call(Session session) throws UsageException {
        String service = Arguments.required(session, 0, "a service");
        String path = session.arguments().size() > 1 ? session.arguments().get(1) : "/";
        String method = session.hasOption("method") ? session.option("method") : "GET";
        ApiRequest request = ApiRequest.notRetryable(
                        method, "/v1/call/" + service + (path.startsWith("/") ? path : "/" + path))
                .withHeader("Lovagegrade-Class", session.option("class"))
                .withHeader("Lovagegrade-Deadline-Ms", session.option("deadline-ms"))
                .withHeader("Lovagegrade-Idempotent", session.hasOption("idempotent") ? "true" : "")
                .withBody(session.option("body"));
        ApiReply reply = session.send(request);
        if (reply.isSuccess()) {
            session.printText(reply.text().strip());
            return ExitCode.SUCCESS;
        }
        return session.printReply(reply, (_json, _out) -> {});
    }
}
