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
import org.lovagegrade.cli.api.ApiCall;
import org.lovagegrade.cli.api.ApiClient;
import org.lovagegrade.cli.api.ApiReply;

/** The commands by which workspaces submit, cancel, watch and call. */
public final class JobCommands {
    private static final long POLL_MS = 300;
    private static final Set<String> OVER = Set.of("ended", "failed", "cancelled", "set_aside");
    private static final double PERCENT = 100;

    private JobCommands() {}

    /**
     * The commands.
     *
     * @return {@code submit}, {@code cancel}, {@code show}, {@code explain}, {@code status} and {@code call}
     */
    public static List<Command> all() {
        return List.of(
                new Command("submit", "", "submit a job with a team's key", submitOptions(), JobCommands::submit),
                new Command("cancel", "JOB", "cancel a job", new Options(), JobCommands::cancel),
                new Command("show", "[JOB]", "show one job or all", new Options(), JobCommands::showJobs),
                new Command("explain", "JOB", "tell why a job waits", new Options(), JobCommands::explain),
                new Command("status", "", "show replicas, entries, workers", new Options(), JobCommands::status),
                new Command("call", "SERVICE [PATH]", "call an endpoint's service", callOptions(), JobCommands::call));
    }

    private static Options submitOptions() {
        Options options = new Options();
        options.addOption(null, "id", true, "the job's id; default: the request id");
        options.addOption(null, "class", true, "the class of work");
        options.addOption(null, "tasks", true, "how many tasks; default: 1");
        options.addOption(null, "cores", true, "cores per task");
        options.addOption(null, "memory-mb", true, "memory per task, in MB");
        options.addOption(null, "accelerators", true, "accelerators per task");
        options.addOption(null, "declared-run-ms", true, "how long a task will run");
        options.addOption(null, "payload", true, "a text for the worker");
        options.addOption(null, "wait", false, "show progress until the job is over");
        return options;
    }

    private static Options callOptions() {
        Options options = new Options();
        options.addOption(null, "class", true, "the class of work");
        options.addOption(null, "method", true, "the HTTP method; default: GET");
        options.addOption(null, "body", true, "the body");
        options.addOption(null, "idempotent", false, "the call may run more than once");
        options.addOption(null, "deadline-ms", true, "how long to wait");
        return options;
    }

    private static ExitCode submit(Session session) throws UsageException {
        if (!session.has("class")) {
            throw new UsageException("--class CLASS", "no --class");
        }
        ObjectNode body = ApiClient.object().put("class", session.option("class"));
        if (session.has("id")) {
            body.put("id", session.option("id"));
        }
        if (session.has("cores")) {
            body.put("cores", Words.decimal(session, "cores"));
        }
        if (session.has("payload")) {
            body.put("payload", session.option("payload"));
        }
        body.put("tasks", session.has("tasks") ? Words.whole(session, "tasks") : 1);
        Words.putWhole(session, body, "memory-mb", "memoryMb");
        Words.putWhole(session, body, "accelerators", "accelerators");
        Words.putWhole(session, body, "declared-run-ms", "declaredRunMs");
        ApiReply reply = session.send(
                ApiCall.command("POST", "/v1/jobs", session.requestId("job")).withBody(body.toString()));
        ExitCode exitCode = session.show(
                reply, (json, out) -> out.println("job " + json.path("job").asText() + " accepted"));
        return reply.isDone() && session.has("wait")
                ? follow(session, reply.json().path("job").asText())
                : exitCode;
    }

    private static ExitCode follow(Session session, String job) {
        String last = "";
        while (true) {
            ApiReply reply = session.send(ApiCall.get("/v1/jobs/" + job));
            if (!reply.isDone()) {
                return session.show(reply, (_json, _out) -> {});
            }
            String progress = progress(reply.json());
            if (!progress.equals(last)) {
                session.say(progress);
                last = progress;
            }
            String state = reply.json().path("state").asText();
            if (OVER.contains(state)) {
                return state.equals("ended") ? ExitCode.DONE : ExitCode.REFUSED;
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return ExitCode.UNKNOWN;
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
        String job = Words.at(session, 0, "a job's id");
        ApiReply reply = session.send(ApiCall.command("DELETE", "/v1/jobs/" + job, session.requestId("cancel")));
        return session.show(reply, (_json, out) -> out.println("job " + job + " cancelled"));
    }

    private static ExitCode showJobs(Session session) {
        if (session.words().isEmpty()) {
            ApiReply reply = session.send(ApiCall.get("/v1/jobs"));
            Table table = Table.of("id", "team", "class", "state", "reason", "tasks", "running", "ended");
            return session.show(reply, (json, out) -> table.print(json.path("jobs"), out));
        }
        ApiReply reply = session.send(ApiCall.get("/v1/jobs/" + session.words().get(0)));
        Table table = Table.of("index", "state", "attempt", "worker", "lastReason");
        return session.show(reply, (json, out) -> {
            out.println(progress(json));
            table.print(json.path("taskList"), out);
        });
    }

    private static ExitCode explain(Session session) throws UsageException {
        String job = Words.at(session, 0, "a job's id");
        ApiReply reply = session.send(ApiCall.get("/v1/jobs/" + job + "/explain"));
        return session.show(reply, JobCommands::printExplanation);
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
        ApiReply reply = session.send(ApiCall.get("/v1/status"));
        return session.show(reply, (json, out) -> {
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
        String service = Words.at(session, 0, "a service");
        String path = session.words().size() > 1 ? session.words().get(1) : "/";
        String method = session.has("method") ? session.option("method") : "GET";
        ApiCall call = ApiCall.once(method, "/v1/call/" + service + (path.startsWith("/") ? path : "/" + path))
                .with("Lovagegrade-Class", session.option("class"))
                .with("Lovagegrade-Deadline-Ms", session.option("deadline-ms"))
                .with("Lovagegrade-Idempotent", session.has("idempotent") ? "true" : "")
                .withBody(session.option("body"));
        ApiReply reply = session.send(call);
        if (reply.isDone()) {
            session.say(reply.text().strip());
            return ExitCode.DONE;
        }
        return session.show(reply, (_json, _out) -> {});
    }
}
