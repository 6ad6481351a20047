package org.lovagegrade.testing.worker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.kernel.logging.Log;

/**
 * A stand-in for a worker of the platform: "runs" tasks by waiting, renews their leases through any entry, and stops
 * them itself when their leases run out. Each start and end is a line of its log.
 *
 * <p>The payload says how a task runs: {@code run-ms=2000}, {@code fail}, or nothing for the default.
 */
public final class FakeWorker {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HEARTBEAT_TIMEOUT_MS = 2_000;
    private static final long FAILED_HEARTBEAT_PAUSE_MS = 200;
    private static final long CHECK_MS = 20;
    private static final long FAIL_AFTER_MS = 100;
    private static final String RUN_PREFIX = "run-ms=";

    private final Profile profile;
    private final List<String> entries;
    private final SimpleHttpClient http;
    private final EventLoop loop;
    private final Clock clock = Clock.monotonic();
    private final String bootId;
    private final Map<String, RunningTask> tasks = new LinkedHashMap<>();
    private final Map<String, Integer> latestAttempt = new TreeMap<>();
    private int nextEntry = ThreadLocalRandom.current().nextInt(1_000);
    private boolean asking;
    private boolean wanted;

    /**
     * What a worker has.
     *
     * @param id its id
     * @param failureDomain its failure domain
     * @param rack its rack
     * @param milliCores its processors, in thousandths of a core
     * @param memoryMb its memory, in megabytes
     * @param accelerators its accelerators
     * @param defaultRunMs how long a task runs whose payload does not say, in milliseconds
     */
    public record Profile(
            String id,
            String failureDomain,
            String rack,
            long milliCores,
            long memoryMb,
            long accelerators,
            long defaultRunMs) {}

    /**
     * Creates a worker.
     *
     * @param profile what it has
     * @param entries the addresses of entries, of which it uses one after the other
     * @param http the client
     * @param loop the thread that owns its state
     */
    public FakeWorker(Profile profile, List<String> entries, SimpleHttpClient http, EventLoop loop) {
        this.profile = profile;
        this.entries = entries;
        this.http = http;
        this.loop = loop;
        this.bootId = String.format(Locale.ROOT, "%015d", System.currentTimeMillis());
    }

    /** Starts its heartbeats. */
    public void start() {
        loop.execute(this::beat);
        loop.scheduleWithFixedDelay(CHECK_MS, this::check);
    }

    private void beat() {
        if (asking) {
            wanted = true;
            return;
        }
        asking = true;
        wanted = false;
        long sentAtMs = clock.nowMs();
        String entry = entries.get(nextEntry++ % entries.size());
        byte[] body = describe().toString().getBytes(StandardCharsets.UTF_8);
        CompletableFuture<HttpResult> pending = http.sendAsync(entry, "POST", "/v1/workers/heartbeat", List.of(), body);
        loop.schedule(
                HEARTBEAT_TIMEOUT_MS, () -> pending.complete(new HttpResult.Lost(HttpResult.FailureCause.ABANDONED)));
        pending.thenAccept(result -> loop.execute(() -> answered(result, sentAtMs)));
    }

    private ObjectNode describe() {
        ObjectNode body = JSON.createObjectNode()
                .put("worker", profile.id())
                .put("bootId", bootId)
                .put("failureDomain", profile.failureDomain())
                .put("rack", profile.rack())
                .put("milliCores", profile.milliCores())
                .put("memoryMb", profile.memoryMb())
                .put("accelerators", profile.accelerators());
        ArrayNode attempts = body.putArray("attempts");
        tasks.values().forEach(task -> task.describe(attempts.addObject()));
        return body;
    }

    private void answered(HttpResult result, long sentAtMs) {
        asking = false;
        long pauseMs = FAILED_HEARTBEAT_PAUSE_MS;
        if (result instanceof HttpResult.Answered whole && whole.status() == 200) {
            pauseMs = obey(whole.text(), sentAtMs);
        }
        if (wanted) {
            beat();
        } else {
            loop.schedule(pauseMs, this::beatIfIdle);
        }
    }

    private void beatIfIdle() {
        if (!asking) {
            beat();
        }
    }

    private long obey(String text, long sentAtMs) {
        try {
            JsonNode answer = JSON.readTree(text);
            answer.path("acknowledged").forEach(attempt -> tasks.remove(key(attempt)));
            answer.path("held").forEach(attempt -> hold(attempt, sentAtMs));
            answer.path("checkpoint").forEach(attempt -> checkpoint(tasks.get(key(attempt))));
            answer.path("stop").forEach(attempt -> stop(tasks.get(key(attempt)), "asked"));
            return answer.path("nextHeartbeatMs").asLong(1_000);
        } catch (JsonProcessingException e) {
            return FAILED_HEARTBEAT_PAUSE_MS;
        }
    }

    private void hold(JsonNode attempt, long sentAtMs) {
        long leaseUntilMs = sentAtMs + attempt.path("leaseMs").asLong();
        RunningTask present = tasks.get(key(attempt));
        if (present != null) {
            present.leaseUntilMs = Math.max(present.leaseUntilMs, leaseUntilMs);
            return;
        }
        int number = attempt.path("attempt").asInt();
        String task = attempt.path("job").asText() + "/" + attempt.path("task").asInt();
        boolean isOld = latestAttempt.getOrDefault(task, 0) >= number;
        if (isOld || clock.nowMs() >= leaseUntilMs) {
            return;
        }
        latestAttempt.put(task, number);
        startTask(attempt, leaseUntilMs);
    }

    private void startTask(JsonNode attempt, long leaseUntilMs) {
        String payload = attempt.path("payload").asText();
        boolean fails = payload.equals("fail");
        long runMs = profile.defaultRunMs();
        if (fails) {
            runMs = FAIL_AFTER_MS;
        } else if (payload.startsWith(RUN_PREFIX)) {
            runMs = Long.parseLong(payload.substring(RUN_PREFIX.length()));
        }
        RunningTask task = new RunningTask(
                attempt.path("job").asText(),
                attempt.path("task").asInt(),
                attempt.path("attempt").asInt(),
                clock.nowMs() + runMs,
                fails,
                attempt.path("milliCores").asLong(),
                attempt.path("memoryMb").asLong(),
                attempt.path("accelerators").asLong());
        task.leaseUntilMs = leaseUntilMs;
        tasks.put(key(attempt), task);
        note("taskStarted", task, "");
    }

    private void checkpoint(RunningTask task) {
        if (task != null && task.state.equals("running")) {
            task.state = "checkpointed";
            note("taskCheckpointed", task, "");
            loop.execute(this::beat);
        }
    }

    private void stop(RunningTask task, String reason) {
        if (task != null && task.isRunning()) {
            task.state = "stopped";
            note("taskOver", task, reason);
            loop.execute(this::beat);
        }
    }

    /** Ends what is done and stops what has no lease any more. */
    private void check() {
        long nowMs = clock.nowMs();
        for (RunningTask task : tasks.values()) {
            if (!task.isRunning()) {
                continue;
            }
            if (nowMs >= task.leaseUntilMs) {
                stop(task, "leaseOver");
            } else if (nowMs >= task.endsAtMs) {
                task.state = task.fails ? "failed" : "ended";
                note("taskOver", task, task.state);
                loop.execute(this::beat);
            }
        }
    }

    private void note(String event, RunningTask task, String reason) {
        long used = tasks.values().stream()
                .filter(RunningTask::isRunning)
                .mapToLong(running -> running.milliCores)
                .sum();
        Log.event(event)
                .with("worker", profile.id())
                .with("job", task.job)
                .with("task", task.task)
                .with("attempt", task.attempt)
                .with("reason", reason)
                .with("usedMilliCores", used)
                .with("capacityMilliCores", profile.milliCores())
                .info();
    }

    private static String key(JsonNode attempt) {
        return attempt.path("job").asText() + "/" + attempt.path("task").asInt() + "/"
                + attempt.path("attempt").asInt();
    }
}
