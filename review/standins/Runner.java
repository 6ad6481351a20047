package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * One life of a runner, as PROTOCOL.md describes it. The spec of a job says how its tasks behave: "run-ms=N" for how
 * long they work, "fail" for tasks that end as failed, "lasting" for tasks that run until they are stopped.
 */
final class Runner {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** PROTOCOL.md: ends are returned 500 at a time. */
    private static final int MAX_LISTED_ENDS = 500;
    private static final int STOP_TAKES_MS = 200;

    /** Something that happened to a run; how is "start" or the way in which it ended. */
    record Event(long atMs, String runner, long bornMs, String task, int run, String how) {}

    /** What all runners have seen, in order. */
    static final class History {
        private final List<Event> events = new ArrayList<>();

        synchronized void add(Event event) {
            events.add(event);
        }

        synchronized List<Event> events() {
            return List.copyOf(events);
        }
    }

    /** Decides whether a start is carried out at once and answered; if not, it is carried out later, unanswered. */
    interface LatePolicy {
        /** How much later the order is carried out in milliseconds, without an answer; 0 to answer it at once. */
        long delayMs(String task, int run);
    }

    private static final class Run {
        private final String task;
        private final int run;
        private final String spec;
        private final long startedNs = System.nanoTime();

        Run(String task, int run, String spec) {
            this.task = task;
            this.run = run;
            this.spec = spec;
        }
    }

    private final String id;
    private final String host;
    private final int port;
    private final String zone;
    private final int cpu;
    private final List<String> controls;
    private final Log log;
    private final History history;
    private final long bornMs = System.currentTimeMillis();
    private final long startedNs = System.nanoTime();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(900))
            .build();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestOver = new HashMap<>();
    private final List<ArrayNode> ends = new ArrayList<>();
    private HttpServer server;
    private LatePolicy late = (task, run) -> 0;
    private long highestFence;
    private long leaseUntilMs;
    private long lastEnd;
    private long notedUpTo;
    private long sequence;
    private String heartbeatTo;
    private int control;
    private boolean draining;
    private long drainingAckedAtMs = -1;
    private boolean dead;
    private volatile long cutUntilMs;

    Runner(String id, int n, Fleet fleet, int cpu, Log log, History history) {
        this.id = id;
        this.host = fleet.runnerHost(n);
        this.port = fleet.runnerPort();
        this.zone = Fleet.ZONES[n % Fleet.ZONES.length];
        this.cpu = cpu;
        this.controls = fleet.controls();
        this.log = log;
        this.history = history;
        this.control = n;
    }

    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 1_024);
        server.createContext("/", this::handle);
        server.setExecutor(threads);
        server.start();
        log.line("runner %s at %s starts, born %d", id, address(), bornMs);
        timer.scheduleWithFixedDelay(this::beatSafely, 0, Fleet.HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(this::lapse, 20, 20, TimeUnit.MILLISECONDS);
    }

    /** Ends this life at once; everything that runs here is gone. */
    void crash() {
        synchronized (this) {
            dead = true;
            for (Run run : running.values()) {
                history.add(new Event(log.nowMs(), id, bornMs, run.task, run.run, "crash"));
            }
            log.line("runner %s crashes with %d runs", id, running.size());
            running.clear();
            notifyAll();
        }
        stop();
    }

    void stop() {
        dead = true;
        timer.shutdownNow();
        server.stop(0);
        threads.shutdownNow();
    }

    String address() {
        return host + ":" + port;
    }

    synchronized void setLate(LatePolicy policy) {
        late = policy;
    }

    /** From now on nothing arrives here and nothing leaves, for so long. */
    void cutFor(long ms) {
        log.line("runner %s is cut off for %d ms", id, ms);
        cutUntilMs = log.nowMs() + ms;
    }

    private void loseWhileCut(HttpExchange exchange) throws IOException {
        try {
            Thread.sleep(Math.max(0, cutUntilMs - log.nowMs()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.close();
    }

    synchronized int runningNow() {
        return running.size();
    }

    synchronized boolean isRunningJob(String job) {
        return running.values().stream().anyMatch(run -> run.task.startsWith(job));
    }

    /** The number of the last end that was listed, and up to which ends were taken note of. */
    synchronized long[] endsAndNoted() {
        return new long[] {lastEnd, notedUpTo};
    }

    /** Says draining from now on, with a heartbeat at once. */
    void drain() {
        synchronized (this) {
            draining = true;
        }
        timer.execute(this::beatSafely);
    }

    /** When a daemon first acknowledged that this runner is draining, or -1. */
    synchronized long drainingAckedAtMs() {
        return drainingAckedAtMs;
    }

    /** The report about itself. */
    synchronized ObjectNode report() {
        sequence++;
        ObjectNode body = JSON.createObjectNode();
        body.put("service", Client.SERVICE).put("addr", address()).put("zone", zone).put("version", "v1");
        body.put("slots", 8).put("state", draining ? "draining" : "ready").put("cold_left_ms", 0);
        body.putObject("capacity").put("cpu", cpu).put("mem_mb", 65_536).put("gpu", 0);
        body.putArray("labels").add("a").add("r1-3");
        body.put("clock_ms", clockMs()).put("seq", sequence).put("born", bornMs).put("machine", "m-" + id);
        if (draining) {
            body.put("remaining_ms", 20_000);
        }
        return body;
    }

    private void beatSafely() {
        try {
            beat();
        } catch (IOException e) {
            heartbeatTo = null;
            control++;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void beat() throws IOException, InterruptedException {
        if (log.nowMs() < cutUntilMs) {
            return;
        }
        ObjectNode body = report();
        String to = heartbeatTo == null ? controls.get(control % controls.size()) : heartbeatTo;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + to + "/api/instances/" + id))
                .timeout(Duration.ofMillis(1_000))
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200) {
            heartbeatTo = null;
            control++;
            return;
        }
        String next = JSON.readTree(response.body().isEmpty() ? "{}" : response.body())
                .path("heartbeat_addr")
                .asText("");
        heartbeatTo = next.isEmpty() ? to : next;
        synchronized (this) {
            if (body.path("state").asText().equals("draining") && drainingAckedAtMs < 0) {
                drainingAckedAtMs = log.nowMs();
                log.line("runner %s: %s acknowledged that it is draining", id, to);
            }
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (log.nowMs() < cutUntilMs) {
            loseWhileCut(exchange);
            return;
        }
        JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        String path = exchange.getRequestURI().getPath();
        if (expected != null && !expected.equals(id)) {
            answer(exchange, 421, base());
        } else if (path.equals("/api/run-start")) {
            start(exchange, body);
        } else if (path.equals("/api/run-stop")) {
            stop(exchange, body);
        } else if (path.equals("/api/hold")) {
            hold(exchange, body);
        } else {
            answer(exchange, 200, base());
        }
    }

    private void start(HttpExchange exchange, JsonNode body) throws IOException {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        long delayMs;
        synchronized (this) {
            delayMs = late.delayMs(task, run);
        }
        if (delayMs > 0) {
            log.line("runner %s leaves the start of %s run %d unanswered, and carries it out in %d ms", id, task, run, delayMs);
            timer.schedule(() -> carryOutStart(body), delayMs, TimeUnit.MILLISECONDS);
            return;
        }
        String reason = carryOutStart(body);
        if (reason.isEmpty()) {
            answer(exchange, 200, base());
        } else {
            answer(exchange, 409, base().put("reason", reason));
        }
    }

    /** Returns why the start was refused, or an empty text. */
    private synchronized String carryOutStart(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        String key = task + "#" + run;
        if (dead) {
            return "dead";
        }
        if (!takeFence(body)) {
            return "fence";
        }
        if (running.containsKey(key)) {
            takeLease(body);
            return "";
        }
        if (run <= highestOver.getOrDefault(task, 0)) {
            takeLease(body);
            return "old";
        }
        if (body.path("until_ms").asLong() <= clockMs()) {
            return "late";
        }
        takeLease(body);
        Run begun = new Run(task, run, body.path("spec").asText());
        running.put(key, begun);
        history.add(new Event(log.nowMs(), id, bornMs, task, run, "start"));
        log.line("runner %s starts %s run %d (fence %d)", id, task, run, body.path("fence").asLong());
        if (!begun.spec.contains("lasting")) {
            String how = begun.spec.contains("fail") ? "failed" : "done";
            timer.schedule(() -> end(key, how), runMs(begun.spec), TimeUnit.MILLISECONDS);
        }
        return "";
    }

    private void stop(HttpExchange exchange, JsonNode body) throws IOException {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        boolean isFenced;
        synchronized (this) {
            isFenced = !takeFence(body);
            if (!isFenced) {
                if (running.containsKey(task + "#" + run)) {
                    timer.schedule(() -> end(task + "#" + run, "stopped"), STOP_TAKES_MS, TimeUnit.MILLISECONDS);
                } else {
                    highestOver.merge(task, run, Math::max);
                }
                log.line("runner %s is told to stop %s run %d", id, task, run);
            }
        }
        answer(exchange, isFenced ? 409 : 200, isFenced ? base().put("reason", "fence") : base());
    }

    private void hold(HttpExchange exchange, JsonNode body) throws IOException {
        ObjectNode listing;
        synchronized (this) {
            if (!takeFence(body)) {
                listing = base().put("reason", "fence");
            } else {
                takeLease(body);
                long cursor = body.path("ack_cursor").asLong();
                notedUpTo = Math.max(notedUpTo, Math.min(cursor, lastEnd));
                ends.removeIf(end -> end.get(0).asLong() <= cursor);
                awaitEnd(body.path("wait_ms").asLong());
                listing = base();
                ArrayNode runs = listing.putArray("running");
                running.values().forEach(run -> runs.addArray()
                        .add(run.task)
                        .add(run.run)
                        .add("")
                        .add(percent(run))
                        .add(0));
                ArrayNode finished = listing.putArray("finished");
                ends.stream().limit(MAX_LISTED_ENDS).forEach(finished::add);
            }
        }
        answer(exchange, listing.has("reason") ? 409 : 200, listing);
    }

    private void awaitEnd(long waitMs) {
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        try {
            while (ends.isEmpty() && !dead && System.nanoTime() < untilNs) {
                wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean takeFence(JsonNode body) {
        long fence = body.path("fence").asLong();
        if (fence < highestFence) {
            return false;
        }
        highestFence = fence;
        return true;
    }

    /** A lease is shortened to the longest allowed, and never ends earlier than before. */
    private void takeLease(JsonNode body) {
        long untilMs = Math.min(body.path("until_ms").asLong(), clockMs() + Fleet.HOLD_MAX_MS);
        leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    }

    private synchronized void lapse() {
        if (clockMs() >= leaseUntilMs && !running.isEmpty()) {
            List.copyOf(running.keySet()).forEach(key -> end(key, "lapsed"));
        }
    }

    private synchronized void end(String key, String how) {
        Run run = running.remove(key);
        if (run == null || dead) {
            return;
        }
        highestOver.merge(run.task, run.run, Math::max);
        lastEnd++;
        ends.add(JSON.createArrayNode().add(lastEnd).add(run.task).add(run.run).add(how).add(""));
        history.add(new Event(log.nowMs(), id, bornMs, run.task, run.run, how));
        log.line("runner %s: %s run %d ends %s", id, run.task, run.run, how);
        notifyAll();
    }

    private static int percent(Run run) {
        if (run.spec.contains("lasting")) {
            return 100;
        }
        long ranMs = (System.nanoTime() - run.startedNs) / 1_000_000;
        return (int) Math.min(99, ranMs * 100 / Math.max(1, runMs(run.spec)));
    }

    private static long runMs(String spec) {
        int at = spec.indexOf("run-ms=");
        return at < 0 ? 500 : Long.parseLong(spec.substring(at + 7).split("[^0-9]")[0]);
    }

    private ObjectNode base() {
        return JSON.createObjectNode().put("clock_ms", clockMs()).put("born", bornMs);
    }

    private long clockMs() {
        return 1 + (System.nanoTime() - startedNs) / 1_000_000;
    }

    private void answer(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        if (log.nowMs() < cutUntilMs) {
            loseWhileCut(exchange);
            return;
        }
        if (dead) {
            exchange.close();
            return;
        }
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
