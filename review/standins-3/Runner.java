import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/**
 * A runner as the users' pages describe it, with one life after the other under the same id and address. It announces itself,
 * runs tasks under a lease and a fence, and lists what ended until that is noted. A task works for as long as its spec says.
 */
final class Runner implements AutoCloseable {
    private static final String RUN_MS = "run-ms=";
    /** In a spec: the task's runs end {@code failed}. */
    private static final String FAILS = "fails;";

    final String id;
    private final Site site;
    private final String host;
    private final int number;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Runner::daemon);
    /** How late a start is carried out, without an answer; 0 for one that is answered at once. */
    private volatile ToLongFunction<String> lateMs = _task -> 0;

    /** Whether no call arrives here and none leaves; what this runner does goes on. */
    private volatile boolean isCutOff;

    private volatile Life life;
    private int lives;

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    Runner(Site site, int number) {
        this.site = site;
        this.number = number;
        this.host = site.runnerHost(number);
        this.id = "i-" + Integer.toHexString(0x5a10 + number);
    }

    void carryOutLate(ToLongFunction<String> newLateMs) {
        lateMs = newLateMs;
    }

    void cutOff(boolean isNowCutOff) {
        isCutOff = isNowCutOff;
        site.trace.say(id + (isNowCutOff ? " is cut off from all machines of the system" : " is no longer cut off"));
    }

    /** Begins a life. */
    synchronized void boot() throws IOException {
        lives++;
        life = new Life(lives);
        site.trace.add(id + " life " + lives + " starts");
        life.start();
    }

    /** Ends the present life at once; its connections break and all that it ran is over. */
    synchronized void crash() {
        site.trace.say(id + " life " + lives + " crashes");
        Life crashed = life;
        life = null;
        crashed.end();
    }

    /** What the runner last said of itself. */
    ObjectNode lastReport() {
        return life.report();
    }

    int running() {
        Life present = life;
        return present == null ? 0 : present.runningCount();
    }

    @Override
    public void close() {
        Life present = life;
        life = null;
        if (present != null) {
            present.end();
        }
        timer.shutdownNow();
    }

    /** An answer to an order. */
    private record Reply(int status, ObjectNode body) {}

    /** One life, which knows nothing of earlier ones. */
    private final class Life {
        private final int index;
        private final long bornMs = System.currentTimeMillis();
        private final long startedNs = System.nanoTime();
        private final HttpPort server;
        private final Map<String, Integer> running = new LinkedHashMap<>();
        /** When each running task ends, and how long it works, on this life's clock. */
        private final Map<String, long[]> works = new HashMap<>();
        private final Map<String, Integer> highestOver = new HashMap<>();
        private final List<ArrayNode> ends = new ArrayList<>();
        private long highestFence;
        private long leaseUntilMs;
        private long endNumber;
        private long sequence;
        private int control = number;
        private boolean over;

        Life(int index) throws IOException {
            this.index = index;
            server = new HttpPort(host, site.runnerPort(), this::handle);
        }

        void start() {
            timer.schedule(this::beat, 0, TimeUnit.MILLISECONDS);
        }

        void end() {
            synchronized (this) {
                over = true;
                running.clear();
                Judge.lifeOver(Runner.this, index);
                notifyAll();
            }
            server.close();
        }

        synchronized int runningCount() {
            return running.size();
        }

        private long clockMs() {
            return 1 + (System.nanoTime() - startedNs) / 1_000_000;
        }

        private void beat() {
            ObjectNode body;
            synchronized (this) {
                if (over) {
                    return;
                }
                sequence++;
                body = report();
            }
            String to = site.control(control % site.replicas);
            boolean heard = !isCutOff && Http.call(to, "PUT", "/api/instances/" + id, Site.hostLine(to), body.toString(), 1_000)
                    .isOk();
            if (!heard) {
                control++;
            }
            synchronized (this) {
                if (!over) {
                    timer.schedule(this::beat, heard ? site.heartbeatMs() : 200, TimeUnit.MILLISECONDS);
                }
            }
        }

        /** What the runner says of itself. */
        ObjectNode report() {
            ObjectNode body = Site.JSON.createObjectNode();
            body.put("service", Site.SERVICE).put("addr", host + ":" + site.runnerPort());
            body.put("zone", site.zone(number)).put("version", "v1").put("slots", 8).put("state", "ready");
            body.put("cold_left_ms", 0).put("seq", sequence).put("born", bornMs).put("clock_ms", clockMs());
            body.putObject("capacity").put("cpu", 16_000).put("mem_mb", 65_536).put("gpu", 0);
            body.putArray("labels").add(site.kind(number)).add(site.rack(number));
            return body;
        }

        private HttpPort.Reply handle(HttpPort.Call call) {
            JsonNode body = parse(call.body());
            if (isCutOff) {
                awaitEndOfCut();
                return null;
            }
            Reply reply;
            if (!id.equals(call.header("X-Expect-Instance"))) {
                reply = new Reply(421, Site.JSON.createObjectNode());
            } else if (call.path().equals("/api/hold")) {
                reply = hold(body);
            } else if (call.path().equals("/api/run-start")) {
                long delayMs = lateMs.applyAsLong(body.path("task").asText());
                if (delayMs > 0) {
                    site.trace.say(id + " life " + index + " leaves the start of " + name(body)
                            + " without an answer, to be carried out " + delayMs + " ms later");
                    timer.schedule(() -> carryOut(body), delayMs, TimeUnit.MILLISECONDS);
                    hang();
                    return null;
                }
                reply = start(body);
            } else if (call.path().equals("/api/run-stop")) {
                reply = stop(body);
            } else {
                reply = new Reply(404, Site.JSON.createObjectNode());
            }
            if (isCutOff) {
                awaitEndOfCut();
                return null;
            }
            return reply == null ? null : new HttpPort.Reply(reply.status(), reply.body().toString());
        }

        /** A call that began during the cut is lost; its caller hears nothing. */
        private synchronized void awaitEndOfCut() {
            while (isCutOff && !over) {
                try {
                    wait(100);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }

        /** Holds a connection open without an answer for as long as this life lasts. */
        private synchronized void hang() {
            while (!over) {
                try {
                    wait(500);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }

        private boolean isFenced(JsonNode body) {
            long fence = body.path("fence").asLong();
            if (fence < highestFence) {
                return true;
            }
            highestFence = fence;
            return false;
        }

        synchronized Reply start(JsonNode body) {
            String task = body.path("task").asText();
            int run = body.path("run").asInt();
            if (over) {
                return null;
            }
            if (isFenced(body)) {
                return refused(body, "fence");
            }
            if (running.getOrDefault(task, 0) == run) {
                return done();
            }
            if (run <= highestOver.getOrDefault(task, 0)) {
                grant(body.path("until_ms").asLong());
                return refused(body, "old");
            }
            if (body.path("until_ms").asLong() <= clockMs()) {
                return refused(body, "late");
            }
            grant(body.path("until_ms").asLong());
            running.put(task, run);
            long workMs = runMs(body.path("spec").asText());
            works.put(task, new long[] {clockMs() + workMs, workMs});
            Judge.begun(site.trace, Runner.this, index, task, run);
            String how = body.path("spec").asText().contains(FAILS) ? "failed" : "done";
            timer.schedule(() -> endRun(task, run, how), workMs, TimeUnit.MILLISECONDS);
            return done();
        }

        synchronized Reply stop(JsonNode body) {
            String task = body.path("task").asText();
            int run = body.path("run").asInt();
            if (isFenced(body)) {
                return refused(body, "fence");
            }
            site.trace.add(id + " life " + index + " is told to stop " + name(body));
            if (running.getOrDefault(task, 0) == run) {
                timer.schedule(() -> endRun(task, run, "stopped"), 100, TimeUnit.MILLISECONDS);
            } else {
                highestOver.merge(task, run, Math::max);
            }
            return done();
        }

        synchronized Reply hold(JsonNode body) {
            long untilNs = System.nanoTime() + body.path("wait_ms").asLong() * 1_000_000;
            if (isFenced(body)) {
                return refused(body, "fence");
            }
            grant(body.path("until_ms").asLong());
            long cursor = body.path("ack_cursor").asLong();
            for (ArrayNode end : ends) {
                if (end.get(0).asLong() <= cursor) {
                    Judge.noted(site.trace, Runner.this, index, end, cursor, body.path("fence").asLong());
                }
            }
            ends.removeIf(end -> end.get(0).asLong() <= cursor);
            long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
            while (ends.isEmpty() && leftMs > 0 && !over) {
                try {
                    wait(leftMs);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return null;
                }
                leftMs = (untilNs - System.nanoTime()) / 1_000_000;
            }
            if (over) {
                return null;
            }
            ObjectNode answer = Site.JSON.createObjectNode();
            answer.put("clock_ms", clockMs()).put("born", bornMs);
            ArrayNode rows = answer.putArray("running");
            running.forEach((task, run) -> rows.addArray().add(task).add(run).add("").add(percent(task)).add(0));
            ArrayNode finished = answer.putArray("finished");
            ends.stream().limit(500).forEach(finished::add);
            return new Reply(200, answer);
        }

        private int percent(String task) {
            long[] work = works.get(task);
            return (int) Math.max(0, Math.min(99, 100 - 100 * (work[0] - clockMs()) / work[1]));
        }

        private synchronized void endRun(String task, int run, String how) {
            if (over || running.getOrDefault(task, 0) != run) {
                return;
            }
            running.remove(task);
            highestOver.merge(task, run, Math::max);
            endNumber++;
            ends.add(Site.JSON.createArrayNode().add(endNumber).add(task).add(run).add(how).add(""));
            Judge.ended(site.trace, Runner.this, index, task, run, how, endNumber);
            notifyAll();
        }

        private void grant(long untilMs) {
            long shortened = Math.min(untilMs, clockMs() + site.bound("hold_max_ms"));
            if (shortened > leaseUntilMs) {
                leaseUntilMs = shortened;
                timer.schedule(this::lapse, shortened - clockMs() + 1, TimeUnit.MILLISECONDS);
            }
        }

        private synchronized void lapse() {
            if (!over && clockMs() >= leaseUntilMs) {
                Map.copyOf(running).forEach((task, run) -> endRun(task, run, "lapsed"));
            }
        }

        private Reply done() {
            return new Reply(200, Site.JSON.createObjectNode().put("clock_ms", clockMs()));
        }

        private Reply refused(JsonNode body, String reason) {
            site.trace.add(id + " life " + index + " refuses " + name(body) + ": " + reason);
            return new Reply(409, Site.JSON.createObjectNode().put("clock_ms", clockMs()).put("reason", reason));
        }
    }

    /** Carries a late order out on whatever life holds the id and the address by then. */
    private void carryOut(JsonNode body) {
        Life present = life;
        site.trace.say("the late start of " + name(body) + " reaches " + id + (present == null ? ", which is down" : ""));
        if (present != null) {
            present.start(body);
        }
    }

    private static JsonNode parse(String text) {
        try {
            return Site.JSON.readTree(text.isEmpty() ? "{}" : text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String name(JsonNode body) {
        return body.path("task").asText() + "#" + body.path("run").asInt() + " (fence " + body.path("fence").asLong() + ")";
    }

    private static long runMs(String spec) {
        int at = spec.indexOf(RUN_MS);
        int end = spec.indexOf(';', at);
        return Long.parseLong(spec.substring(at + RUN_MS.length(), end));
    }
}
