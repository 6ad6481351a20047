package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** The operator and the clients of one tenant: they send what PROTOCOL.md says, to one daemon after the other. */
final class Client {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    /** The route whose jobs come first. */
    static final String URGENT_PREFIX = "/pule252/";
    static final String SERVICE = "huvo11a";
    private static final String KEY = "6x73d3zji9n73hh2b9wu";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TIME_BUDGET_MS = 3_000;

    private final Fleet fleet;
    private final Log log;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(900))
            .build();
    private final AtomicInteger turn = new AtomicInteger();

    /** An answer; status 0 if there was none. */
    record Answer(int status, JsonNode body) {}

    Client(Fleet fleet, Log log) {
        this.fleet = fleet;
        this.log = log;
    }

    /** Sends the first desired state until it is acknowledged: two routes, one service, one tenant with a high limit. */
    boolean configure(long deadlineMs) throws InterruptedException {
        ObjectNode body = JSON.createObjectNode();
        body.put("version", 7);
        ArrayNode routes = body.putArray("routes");
        addRoute(routes, "r-v3nax7u", URGENT_PREFIX, 0);
        addRoute(routes, "r-cpihhac", PREFIX, 1);
        body.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("health_path", "/healthz")
                .put("max_conns", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("admission_control", false)
                .put("standby", false);
        ObjectNode tenant = body.putArray("tenants").addObject();
        tenant.put("name", "kaje80").put("priority", 1).put("weight", 18);
        tenant.putArray("api_keys").add(KEY);
        tenant.putObject("upper_bound").put("cpu", 591_971).put("mem_mb", 1_980_331).put("gpu", 0);
        while (log.nowMs() < deadlineMs) {
            String control = fleet.controls().get(turn.getAndIncrement() % fleet.controls().size());
            Answer answer = call("PUT", control, "/api/config", body.toString(), 1_000, false);
            if (answer.status() == 200) {
                log.line("operator: desired state 7 acknowledged by %s", control);
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }

    private static void addRoute(ArrayNode routes, String name, String prefix, int priority) {
        routes.addObject()
                .put("name", name)
                .put("host", HOST)
                .put("path_prefix", prefix)
                .put("kind", "non_idempotent")
                .put("timeout_ms", 3_000)
                .put("completion_target_ms", 1_000)
                .put("priority", priority)
                .put("service", SERVICE)
                .put("max_attempts", 3)
                .put("slack_factor", 2.2)
                .put("public", false);
    }

    /** One step of a job. */
    static Consumer<ArrayNode> step(int count, int cpu, int memMb, int estimateMs, Consumer<ObjectNode> more) {
        return phases -> {
            ObjectNode phase = phases.addObject();
            phase.put("count", count).put("cpu", cpu).put("mem_mb", memMb).put("est_runtime_ms", estimateMs);
            more.accept(phase);
        };
    }

    static Consumer<ArrayNode> step(int count, int cpu, int memMb, int estimateMs) {
        return step(count, cpu, memMb, estimateMs, phase -> {});
    }

    static String job(String spec, Consumer<ArrayNode> steps, Consumer<ObjectNode> more) {
        ObjectNode body = JSON.createObjectNode();
        body.put("spec", spec);
        steps.accept(body.putArray("phases"));
        more.accept(body);
        return body.toString();
    }

    static String job(String spec, Consumer<ArrayNode> steps) {
        return job(spec, steps, body -> {});
    }

    Answer submit(String id, String body, int attempts) throws InterruptedException {
        return submit(PREFIX, id, body, attempts);
    }

    /** Hands a job in; a call without a clear answer is sent again. */
    Answer submit(String prefix, String id, String body, int attempts) throws InterruptedException {
        Answer answer = new Answer(0, JSON.createObjectNode());
        for (int attempt = 0; attempt < attempts; attempt++) {
            answer = call("POST", fleet.front(turn.getAndIncrement() % fleet.entries()), prefix + id, body, TIME_BUDGET_MS, true);
            log.line("client: POST %s%s %s -> %d", prefix, id, shortened(body), answer.status());
            if (answer.status() != 0 && answer.status() != 502 && answer.status() != 504) {
                return answer;
            }
            Thread.sleep(200);
        }
        return answer;
    }

    /** The state of a job, or a text with the status. */
    String state(String id) {
        Answer answer = call("GET", fleet.front(turn.getAndIncrement() % fleet.entries()), PREFIX + id, "", TIME_BUDGET_MS, true);
        return answer.status() == 200 ? answer.body().path("state").asText() : "(" + answer.status() + ")";
    }

    Answer cancel(String id) {
        Answer answer = call("DELETE", fleet.front(turn.getAndIncrement() % fleet.entries()), PREFIX + id, "", TIME_BUDGET_MS, true);
        log.line("client: DELETE %s -> %d", id, answer.status());
        return answer;
    }

    Answer call(String method, String address, String path, String body, int timeoutMs, boolean isClient) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        request.header("Content-Type", "application/json");
        if (isClient) {
            request.header("Host", HOST).header("Authorization", "Bearer " + KEY);
            request.header("X-Deadline-Ms", Integer.toString(timeoutMs));
        }
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            JsonNode read = response.body().isEmpty() ? JSON.createObjectNode() : JSON.readTree(response.body());
            return new Answer(response.statusCode(), read);
        } catch (IOException e) {
            return new Answer(0, JSON.createObjectNode());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, JSON.createObjectNode());
        }
    }

    private static String shortened(String body) {
        return body.length() <= 200 ? body : body.substring(0, 200) + "...";
    }
}
