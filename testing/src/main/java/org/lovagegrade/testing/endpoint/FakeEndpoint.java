package org.lovagegrade.testing.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.kernel.logging.Log;
import org.xnio.Options;

/**
 * A stand-in for an endpoint: announces itself, is the judge of whom it serves, and counts what runs. It answers {@code
 * /echo}, {@code /sleep/MS}, {@code /fail}, {@code /stall}, {@code /big/BYTES}, and tells its counts at {@code /stats}.
 */
public final class FakeEndpoint {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString SESSION = new HttpString("Lovagegrade-Session");
    private static final HttpString CALL_ID = new HttpString("Lovagegrade-Call-Id");
    private static final HttpString OUTCOME = new HttpString("Lovagegrade-Outcome");
    private static final HttpString CALL_STATE = new HttpString("Lovagegrade-Call-State");
    private static final String PROBE_PATH = "/.lovagegrade/probe";
    private static final long ANNOUNCE_INTERVAL_MS = 500;
    private static final long ANNOUNCE_TIMEOUT_MS = 1_500;
    private static final int FAILURES_TO_CHOOSE_ANEW = 3;

    private final Profile profile;
    private final List<String> entries;
    private final SimpleHttpClient http;
    private final EventLoop loop;
    private final Map<String, String> callStates = new HashMap<>();
    private final Map<String, Integer> runsByTag = new HashMap<>();
    private final Map<String, Integer> runningByWorkspace = new HashMap<>();
    private final Map<String, Integer> mostByWorkspace = new HashMap<>();
    private Undertow server;
    private int port;
    private String advertisedHost = "127.0.0.1";
    private int advertisedPort;
    private String owner = "";
    private long epoch;
    private int nextEntry;
    private int failures;
    private int running;
    private int runningElsewhere;
    private int mostRunning;
    private int served;
    private int refused;
    private int servedWhileLeaving;
    private boolean leaving;
    private boolean failing;
    private String otherCallId = "";

    /**
     * What an endpoint is.
     *
     * @param id its id
     * @param service the service that it answers for
     * @param failureDomain its failure domain
     * @param slots how many calls it runs at once
     * @param connections how many connections it takes
     */
    public record Profile(String id, String service, String failureDomain, int slots, int connections) {}

    /**
     * Creates an endpoint.
     *
     * @param profile what it is
     * @param entries the addresses of entries, of which it uses one after the other
     * @param http the client
     * @param loop the thread that owns its state
     */
    public FakeEndpoint(Profile profile, List<String> entries, SimpleHttpClient http, EventLoop loop) {
        this.profile = profile;
        this.entries = entries;
        this.http = http;
        this.loop = loop;
    }

    /**
     * Starts to listen, and to announce itself.
     *
     * @param listenPort the port, 0 for a free one
     * @return the port taken
     */
    public int start(int listenPort) {
        listen(listenPort);
        announceItself();
        return port;
    }

    /**
     * Starts to listen only.
     *
     * @param listenPort the port, 0 for a free one
     * @return the port taken
     */
    public int listen(int listenPort) {
        server = Undertow.builder()
                .addHttpListener(listenPort, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setSocketOption(Options.BACKLOG, profile.connections())
                .setHandler(this::receive)
                .build();
        server.start();
        port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
        if (advertisedPort == 0) {
            advertisedPort = port;
        }
        return port;
    }

    /** Starts to announce itself. */
    public void announceItself() {
        loop.execute(this::announce);
    }

    /**
     * Announces another address than its own, that of a proxy.
     *
     * @param host the host
     * @param proxyPort the port
     * @return this endpoint
     */
    public FakeEndpoint advertising(String host, int proxyPort) {
        advertisedHost = host;
        advertisedPort = proxyPort;
        return this;
    }

    /** Announces from now on that it is leaving. */
    public void leave() {
        loop.execute(() -> {
            leaving = true;
            servedWhileLeaving = 0;
            Log.event("endpointLeaving").with("endpoint", profile.id()).info();
        });
    }

    /**
     * Fails every call from now on, or ceases to.
     *
     * @param fails whether calls fail
     */
    public void failAll(boolean fails) {
        loop.execute(() -> failing = fails);
    }

    /**
     * Sends back the id of another call from now on.
     *
     * @param callId the id
     */
    public void answerAs(String callId) {
        loop.execute(() -> otherCallId = callId);
    }

    /** Stops listening. */
    public void stop() {
        server.stop();
    }

    /**
     * What it has counted.
     *
     * @return a JSON object
     */
    public ObjectNode stats() {
        CompletableFuture<ObjectNode> stats = new CompletableFuture<>();
        loop.execute(() -> stats.complete(describe()));
        return stats.join();
    }

    private ObjectNode describe() {
        ObjectNode node = JSON.createObjectNode()
                .put("id", profile.id())
                .put("running", running)
                .put("mostRunning", mostRunning)
                .put("served", served)
                .put("refused", refused)
                .put("servedWhileLeaving", servedWhileLeaving)
                .put("owner", owner)
                .put("epoch", epoch);
        ObjectNode runs = node.putObject("runsByTag");
        runsByTag.forEach(runs::put);
        ObjectNode workspaces = node.putObject("mostByTeam");
        mostByWorkspace.forEach(workspaces::put);
        return node;
    }

    // --- announcements

    private void announce() {
        String entry = entries.get(nextEntry++ % entries.size());
        ObjectNode body = JSON.createObjectNode()
                .put("endpoint", profile.id())
                .put("service", profile.service())
                .put("failureDomain", profile.failureDomain())
                .put("host", advertisedHost)
                .put("port", advertisedPort)
                .put("slots", profile.slots())
                .put("connections", profile.connections())
                .put("epoch", epoch)
                .put("leaving", leaving)
                .put("busyElsewhere", runningElsewhere);
        if (!owner.isEmpty()) {
            body.put("owner", owner);
        }
        CompletableFuture<HttpResult> pending = http.sendAsync(
                entry,
                "POST",
                "/v1/endpoints/announce",
                List.of(),
                body.toString().getBytes(StandardCharsets.UTF_8));
        loop.schedule(
                ANNOUNCE_TIMEOUT_MS, () -> pending.complete(new HttpResult.Lost(HttpResult.FailureCause.ABANDONED)));
        pending.thenAccept(result -> loop.execute(() -> announced(result)));
    }

    private void announced(HttpResult result) {
        Optional<JsonNode> answer = parse(result);
        if (answer.isPresent() && answer.get().path("accepted").asBoolean()) {
            failures = 0;
        } else if (answer.isPresent() && !answer.get().path("owner").asText().isEmpty()) {
            choose(answer.get().path("owner").asText());
        } else if (++failures >= FAILURES_TO_CHOOSE_ANEW) {
            failures = 0;
            owner = "";
        }
        loop.schedule(ANNOUNCE_INTERVAL_MS, this::announce);
    }

    private void choose(String entry) {
        if (entry.equals(owner)) {
            return;
        }
        owner = entry;
        epoch++;
        runningElsewhere = running;
        failures = 0;
        Log.event("ownerChosen")
                .with("endpoint", profile.id())
                .with("owner", owner)
                .with("epoch", epoch)
                .info();
    }

    private static Optional<JsonNode> parse(HttpResult result) {
        if (!(result instanceof HttpResult.Answered whole) || whole.status() != StatusCodes.OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readTree(whole.text()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    // --- calls

    private void receive(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes((received, body) -> received.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () -> loop.execute(() -> handle(received, new String(body, StandardCharsets.UTF_8)))));
    }

    private void handle(HttpServerExchange exchange, String body) {
        String path = exchange.getRequestPath();
        if (path.equals("/stats")) {
            answer(exchange, StatusCodes.OK, describe().toString());
        } else if (path.equals(PROBE_PATH)) {
            probe(exchange);
        } else {
            call(exchange, path, body);
        }
    }

    private void probe(HttpServerExchange exchange) {
        Deque<String> asked = exchange.getQueryParameters().get("call");
        if (asked != null) {
            String state = callStates.computeIfAbsent(asked.getFirst(), _id -> "never");
            exchange.getResponseHeaders().put(CALL_STATE, state);
        }
        answer(exchange, StatusCodes.OK, "ok");
    }

    private void call(HttpServerExchange exchange, String path, String body) {
        String id = header(exchange, CALL_ID);
        String session = header(exchange, SESSION);
        boolean isOfSession = session.equals(owner + "/" + epoch);
        boolean wasGivenUp = "never".equals(callStates.get(id));
        if (!isOfSession || wasGivenUp || running >= profile.slots()) {
            refused++;
            exchange.getResponseHeaders().put(OUTCOME, "not-run");
            answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not run");
            return;
        }
        callStates.put(id, "running");
        String workspace = header(exchange, new HttpString("Test-Team"));
        long startedEpoch = epoch;
        begin(exchange, workspace);
        if (failing) {
            end(exchange, id, workspace, startedEpoch, StatusCodes.INTERNAL_SERVER_ERROR, "failed");
        } else if (path.startsWith("/sleep/")) {
            loop.schedule(
                    Long.parseLong(path.substring("/sleep/".length())),
                    () -> end(exchange, id, workspace, startedEpoch, StatusCodes.OK, "slept " + body));
        } else if (path.equals("/fail")) {
            end(exchange, id, workspace, startedEpoch, StatusCodes.INTERNAL_SERVER_ERROR, "failed");
        } else if (path.startsWith("/big/")) {
            int bytes = Integer.parseInt(path.substring("/big/".length()));
            end(exchange, id, workspace, startedEpoch, StatusCodes.OK, "x".repeat(bytes));
        } else if (path.equals("/headers")) {
            end(
                    exchange,
                    id,
                    workspace,
                    startedEpoch,
                    StatusCodes.OK,
                    exchange.getRequestHeaders().toString());
        } else if (!path.equals("/stall")) {
            end(exchange, id, workspace, startedEpoch, StatusCodes.OK, profile.id() + " got " + body);
        }
    }

    private void begin(HttpServerExchange exchange, String workspace) {
        running++;
        served++;
        if (leaving) {
            servedWhileLeaving++;
        }
        mostRunning = Math.max(mostRunning, running);
        runsByTag.merge(header(exchange, new HttpString("Test-Tag")), 1, Integer::sum);
        int ofWorkspace = runningByWorkspace.merge(workspace, 1, Integer::sum);
        mostByWorkspace.merge(workspace, ofWorkspace, Math::max);
    }

    private void end(
            HttpServerExchange exchange, String id, String workspace, long startedEpoch, int status, String body) {
        running--;
        if (startedEpoch < epoch) {
            runningElsewhere = Math.max(0, runningElsewhere - 1);
        }
        runningByWorkspace.merge(workspace, -1, Integer::sum);
        callStates.put(id, "finished");
        exchange.getResponseHeaders().put(CALL_ID, otherCallId.isEmpty() ? id : otherCallId);
        answer(exchange, status, body);
    }

    private static String header(HttpServerExchange exchange, HttpString name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    private static void answer(HttpServerExchange exchange, int status, String body) {
        exchange.getIoThread().execute(() -> {
            exchange.setStatusCode(status);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
            exchange.getResponseSender().send(body);
        });
    }
}
