package org.lovagegrade.testing.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.http.HttpHeader;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.testing.FakeOptions;

/**
 * The program {@code load}: sends calls at a stated rate whether the last ones were answered or not, so that waiting is
 * not hidden, and tells what each workspace got.
 */
public final class LoadMain {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MOST_US = 60_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_US = 1_000;
    private static final int HTTP_OK = 200;
    private static final int DEFAULT_SECONDS = 10;
    private static final int DEFAULT_RATE = 100;
    private static final long LAST_ANSWERS_MS = 15_000;

    private final List<String> targets;
    private final SimpleHttpClient http = SimpleHttpClient.create();
    private final EventLoop loop = EventLoop.named("load");
    private final Map<String, WorkspaceResult> results = new TreeMap<>();
    private final Random random;
    private final String runId = Long.toHexString(System.currentTimeMillis());
    private long outstanding;
    private long sentInAll;

    /** What one workspace got. */
    private static final class WorkspaceResult {
        private final Histogram answeredUs = new Histogram(MOST_US, 3);
        private final Map<String, Integer> refusals = new TreeMap<>();
        private long sent;
    }

    /** A workspace's part of the load. */
    private record WorkspaceLoad(String workspace, String key, double perSecond) {}

    private LoadMain(List<String> targets, long seed) {
        this.targets = targets;
        this.random = new Random(seed);
    }

    /**
     * Runs the load and prints one JSON object.
     *
     * @param args {@code --targets host:port,... --workspaces norte:secret:100,... --seconds 10 --path /v1/call/orders/x}
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        FakeOptions options = FakeOptions.parse(
                args, "targets", "teams", "seconds", "path", "class", "seed", "method", "deadline-ms", "mode");
        LoadMain load = new LoadMain(options.list("targets"), options.number("seed", 1));
        List<WorkspaceLoad> workspaces = new ArrayList<>();
        for (String workspace : options.list("teams")) {
            String[] parts = workspace.split(":", -1);
            double rate = parts.length > 2 ? Double.parseDouble(parts[2]) : DEFAULT_RATE;
            workspaces.add(new WorkspaceLoad(parts[0], parts.length > 1 ? parts[1] : "", rate));
        }
        ObjectNode result = load.run(workspaces, options);
        System.out.println(result);
        System.exit(0);
    }

    private ObjectNode run(List<WorkspaceLoad> workspaces, FakeOptions options) throws InterruptedException {
        long startedNs = System.nanoTime();
        long lengthNs = options.number("seconds", DEFAULT_SECONDS) * NANOS_PER_SECOND;
        for (WorkspaceLoad workspace : workspaces) {
            results.put(workspace.workspace(), new WorkspaceResult());
            loop.execute(() -> sendNext(workspace, startedNs, startedNs + lengthNs, options));
        }
        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(lengthNs));
        CountDownLatch done = new CountDownLatch(1);
        long giveUpNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MS);
        awaitLast(done, giveUpNs);
        done.await();
        return describe(options.number("seconds", DEFAULT_SECONDS));
    }

    private void awaitLast(CountDownLatch done, long giveUpNs) {
        loop.schedule(50, () -> {
            if (outstanding == 0 || System.nanoTime() > giveUpNs) {
                done.countDown();
            } else {
                awaitLast(done, giveUpNs);
            }
        });
    }

    /** Sends the call that is due at the given time, and plans the next by a Poisson process. */
    private void sendNext(WorkspaceLoad workspace, long dueNs, long endNs, FakeOptions options) {
        if (dueNs >= endNs) {
            return;
        }
        send(workspace, dueNs, options);
        long gapNs = (long) (-Math.log(1 - random.nextDouble()) / workspace.perSecond() * NANOS_PER_SECOND);
        long nextNs = dueNs + gapNs;
        long waitMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nextNs - System.nanoTime()) + 1);
        loop.schedule(waitMs, () -> sendNext(workspace, nextNs, endNs, options));
    }

    private void send(WorkspaceLoad workspace, long dueNs, FakeOptions options) {
        outstanding++;
        results.get(workspace.workspace()).sent++;
        List<HttpHeader> headers = List.of(
                new HttpHeader("Lovagegrade-Key", workspace.key()),
                new HttpHeader("Lovagegrade-Class", options.text("class", "fitting")),
                new HttpHeader("Lovagegrade-Deadline-Ms", options.text("deadline-ms", "10000")),
                new HttpHeader("Test-Team", workspace.workspace()));
        String target = targets.get(random.nextInt(targets.size()));
        boolean submits = options.text("mode", "call").equals("submit");
        List<HttpHeader> all = new ArrayList<>(headers);
        all.add(new HttpHeader("Lovagegrade-Request-Id", "load-" + runId + "-" + sentInAll++));
        http.sendAsync(
                        target,
                        submits ? "POST" : options.text("method", "GET"),
                        submits ? "/v1/jobs" : options.text("path", "/v1/call/orders/x"),
                        all,
                        (submits ? jobBody(options) : "which harness?").getBytes(StandardCharsets.UTF_8))
                .thenAccept(result -> loop.execute(() -> answered(workspace, dueNs, result)));
    }

    private static String jobBody(FakeOptions options) {
        return "{\"class\": \"" + options.text("class", "nightly")
                + "\", \"tasks\": 1, \"cores\": 0.1, \"memoryMb\": 16, \"payload\": \"run-ms=100\"}";
    }

    private void answered(WorkspaceLoad workspace, long dueNs, HttpResult result) {
        outstanding--;
        WorkspaceResult workspaceResult = results.get(workspace.workspace());
        if (result instanceof HttpResult.Answered whole && whole.status() == HTTP_OK) {
            workspaceResult.answeredUs.recordValue(Math.min(MOST_US, (System.nanoTime() - dueNs) / NANOS_PER_US));
            return;
        }
        workspaceResult.refusals.merge(reason(result), 1, Integer::sum);
    }

    private static String reason(HttpResult result) {
        if (!(result instanceof HttpResult.Answered whole)) {
            return result.getClass().getSimpleName();
        }
        try {
            return JSON.readTree(whole.text()).path("reason").asText("status " + whole.status());
        } catch (IOException e) {
            return "status " + whole.status();
        }
    }

    private ObjectNode describe(int seconds) {
        ObjectNode all = JSON.createObjectNode();
        results.forEach((workspace, result) -> {
            ObjectNode node = all.putObject(workspace)
                    .put("sent", result.sent)
                    .put("answered", result.answeredUs.getTotalCount())
                    .put("answeredPerSecond", (double) result.answeredUs.getTotalCount() / seconds)
                    .put("p50Us", result.answeredUs.getValueAtPercentile(50))
                    .put("p99Us", result.answeredUs.getValueAtPercentile(99))
                    .put("p999Us", result.answeredUs.getValueAtPercentile(99.9));
            ObjectNode refusals = node.putObject("refusals");
            result.refusals.forEach(refusals::put);
        });
        return all;
    }
}
