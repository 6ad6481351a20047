package org.lovagegrade.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.testing.platform.JsonServer.Answer;

/**
 * One runner as the platform's pages describe it: it announces itself, runs tasks under a lease and a fence, and lists
 * what ended until that is noted. A task works for as long as its spec says in {@code run-ms=NUMBER}.
 */
public final class EmulatedRunner implements AutoCloseable {
    private static final long BEAT_INTERVAL_MS = 300;
    private static final long DEFAULT_RUN_MS = 100;
    private static final long STOP_MS = 50;
    private static final long CALL_TIMEOUT_MS = 1_000;
    private static final String RUN_MS = "run-ms=";

    private final String id;
    private final String address;
    private final List<String> controls;
    private final SimpleHttpClient http;
    private final JsonServer server;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final long bornMs = System.currentTimeMillis();
    private final long startedAtNs = System.nanoTime();
    private final Map<String, Integer> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<ArrayNode> ends = new ArrayList<>();
    private final List<String> begun = new ArrayList<>();
    private long highestFence;
    private long leaseUntilMs;
    private long endNumber;
    private long sequence;
    private int control;
    private boolean mute;

    /**
     * Creates a runner.
     *
     * @param id its id
     * @param host the loopback address that it listens at
     * @param port its port
     * @param controls where it announces itself, {@code host:port}
     * @param http makes its calls
     */
    public EmulatedRunner(String id, String host, int port, List<String> controls, SimpleHttpClient http) {
        this.id = id;
        this.address = host + ":" + port;
        this.controls = List.copyOf(controls);
        this.http = http;
        this.server = new JsonServer(host, port, this::handle);
    }

    /** Starts to listen and to announce itself. */
    public void start() {
        server.start();
        timer.scheduleWithFixedDelay(this::beat, 0, BEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * From now on orders are carried out and not answered, or answered again.
     *
     * @param isMute whether to leave callers without answers
     */
    public synchronized void mute(boolean isMute) {
        mute = isMute;
    }

    /**
     * The runs that have begun here.
     *
     * @return task and run, joined by {@code #}
     */
    public synchronized List<String> begun() {
        return List.copyOf(begun);
    }

    /**
     * The tasks that run now.
     *
     * @return the number
     */
    public synchronized int running() {
        return running.size();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.stop();
    }

    private void beat() {
        ObjectNode body = JsonServer.object();
        synchronized (this) {
            sequence++;
            body.put("service", PlatformSite.SERVICE);
            body.put("addr", address);
            body.put("zone", "zone-a");
            body.put("version", "v1");
            body.put("slots", 8);
            body.put("state", "ready");
            body.put("cold_left_ms", 0);
            body.put("seq", sequence);
            body.put("born", bornMs);
            body.putObject("capacity").put("cpu", 16_000).put("mem_mb", 65_536).put("gpu", 0);
            body.putArray("labels").add("a").add("r1-1");
        }
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        String to = controls.get(control % controls.size());
        HttpResult result = http.send(to, "PUT", "/api/instances/" + id, List.of(), bytes, CALL_TIMEOUT_MS);
        boolean isHeard = result instanceof HttpResult.Answered whole && whole.status() == 200;
        if (!isHeard) {
            control++;
        }
    }

    private Optional<Answer> handle(String path, JsonNode body) {
        if (path.equals("/api/hold")) {
            return hold(body);
        }
        synchronized (this) {
            if (body.path("fence").asLong() < highestFence) {
                return refused("fence");
            }
            highestFence = body.path("fence").asLong();
            Optional<Answer> answer = path.equals("/api/run-start") ? start(body) : stop(body);
            return mute ? Optional.empty() : answer;
        }
    }

    private Optional<Answer> start(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        if (running.getOrDefault(task, 0) == run) {
            return done();
        }
        if (run <= highestEnded.getOrDefault(task, 0)) {
            return refused("old");
        }
        if (body.path("until_ms").asLong() <= clockMs()) {
            return refused("late");
        }
        grant(body.path("until_ms").asLong());
        running.put(task, run);
        begun.add(task + "#" + run);
        timer.schedule(() -> end(task, run, "done"), runMs(body.path("spec").asText()), TimeUnit.MILLISECONDS);
        return done();
    }

    private Optional<Answer> stop(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        if (running.getOrDefault(task, 0) == run) {
            timer.schedule(() -> end(task, run, "stopped"), STOP_MS, TimeUnit.MILLISECONDS);
        } else {
            highestEnded.merge(task, run, Math::max);
        }
        return done();
    }

    private Optional<Answer> hold(JsonNode body) {
        long untilNs = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(body.path("wait_ms").asLong());
        synchronized (this) {
            if (body.path("fence").asLong() < highestFence) {
                return refused("fence");
            }
            highestFence = body.path("fence").asLong();
            grant(body.path("until_ms").asLong());
            long cursor = body.path("ack_cursor").asLong();
            ends.removeIf(end -> end.get(0).asLong() <= cursor);
            try {
                long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
                while (ends.isEmpty() && leftMs > 0) {
                    wait(leftMs);
                    leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            ObjectNode answer = JsonServer.object();
            answer.put("clock_ms", clockMs());
            answer.put("born", bornMs);
            ArrayNode runs = answer.putArray("running");
            running.forEach((task, run) ->
                    runs.addArray().add(task).add(run).add("").add(1).add(0));
            answer.putArray("finished").addAll(ends);
            return mute ? Optional.empty() : Optional.of(new Answer(200, answer));
        }
    }

    private synchronized void end(String task, int run, String how) {
        if (running.getOrDefault(task, 0) != run) {
            return;
        }
        running.remove(task);
        highestEnded.merge(task, run, Math::max);
        endNumber++;
        ends.add(JsonServer.object()
                .arrayNode()
                .add(endNumber)
                .add(task)
                .add(run)
                .add(how)
                .add(""));
        notifyAll();
    }

    private void grant(long untilMs) {
        if (untilMs > leaseUntilMs) {
            leaseUntilMs = untilMs;
            timer.schedule(this::lapse, untilMs - clockMs() + 1, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void lapse() {
        if (clockMs() >= leaseUntilMs) {
            Map.copyOf(running).forEach((task, run) -> end(task, run, "lapsed"));
        }
    }

    private long clockMs() {
        return 1 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNs);
    }

    private Optional<Answer> done() {
        return Optional.of(new Answer(200, JsonServer.object().put("clock_ms", clockMs())));
    }

    private Optional<Answer> refused(String reason) {
        return Optional.of(
                new Answer(409, JsonServer.object().put("clock_ms", clockMs()).put("reason", reason)));
    }

    private static long runMs(String spec) {
        int at = spec.indexOf(RUN_MS);
        return at < 0
                ? DEFAULT_RUN_MS
                : Long.parseLong(spec.substring(at + RUN_MS.length()).strip());
    }
}
