package org.lovagegrade.cli.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.http.HttpHeader;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.kernel.http.SimpleHttpClient;

/**
 * Talks to the entries. What carries a request id is sent again, to another entry, until an answer comes; a resend gets
 * the first answer.
 *
 * <p>Example: {@code client.send(ApiCall.get("/v1/status"))}
 */
public final class ApiClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ATTEMPT_TIMEOUT_MS = 12_000;
    private static final long GIVE_UP_MS = 30_000;
    private static final long GIVE_UP_UNREACHED_MS = 3_000;
    private static final long PAUSE_MS = 200;
    private static final int FIRST_ERROR_STATUS = 400;

    private final SimpleHttpClient http = SimpleHttpClient.create();
    private final Clock clock = Clock.monotonic();
    private final List<String> entries;

    /**
     * Creates a client.
     *
     * @param entries the addresses of entries, tried in this order
     */
    public ApiClient(List<String> entries) {
        this.entries = List.copyOf(entries);
    }

    /**
     * Sends a request.
     *
     * @param call the request
     * @return the answer, or what became of the request
     */
    public ApiReply send(ApiCall call) {
        long giveUpMs = clock.nowMs() + GIVE_UP_UNREACHED_MS;
        boolean wasReached = false;
        boolean mayHaveRun = false;
        ApiReply last = failed(ExitCode.REFUSED, "no entry could be reached at " + entries);
        for (int i = 0; clock.nowMs() < giveUpMs; i++) {
            HttpResult result = attempt(call, entries.get(i % entries.size()));
            if (!wasReached && !(result instanceof HttpResult.NotSent)) {
                wasReached = true;
                giveUpMs += GIVE_UP_MS;
            }
            if (result instanceof HttpResult.Answered whole) {
                ApiReply reply = toReply(whole);
                boolean noLeader = reply.json().path("reason").asText().equals("noLeader");
                boolean inDoubt = reply.exitCode() == ExitCode.UNKNOWN;
                if (!call.mayResend() || !(noLeader || inDoubt)) {
                    return mayHaveRun && reply.exitCode() == ExitCode.REFUSED && noLeader
                            ? failed(ExitCode.UNKNOWN, "an earlier try may have run")
                            : reply;
                }
                mayHaveRun |= inDoubt;
                last = reply;
            } else if (result instanceof HttpResult.Lost) {
                mayHaveRun = true;
                last = failed(ExitCode.UNKNOWN, "the connection to the entry broke");
                if (!call.mayResend()) {
                    return last;
                }
            }
            if (i % entries.size() == entries.size() - 1 && !pause()) {
                return last;
            }
        }
        return mayHaveRun ? failed(ExitCode.UNKNOWN, "no answer in time") : last;
    }

    /**
     * Makes an empty JSON object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return JSON.createObjectNode();
    }

    @Override
    public void close() {
        http.close();
    }

    private HttpResult attempt(ApiCall call, String entry) {
        List<HttpHeader> headers = new ArrayList<>(call.headers());
        byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
        return http.send(entry, call.method(), call.path(), headers, body, ATTEMPT_TIMEOUT_MS);
    }

    private static boolean pause() {
        try {
            Thread.sleep(PAUSE_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static ApiReply toReply(HttpResult.Answered whole) {
        String outcome = whole.header("Lovagegrade-Outcome");
        ExitCode exitCode = ExitCode.DONE;
        if (outcome.equals("unknown")) {
            exitCode = ExitCode.UNKNOWN;
        } else if (outcome.equals("not-run") || whole.status() >= FIRST_ERROR_STATUS) {
            exitCode = ExitCode.REFUSED;
        }
        return new ApiReply(exitCode, whole.status(), whole.text(), parse(whole.text()));
    }

    private static JsonNode parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node == null || !node.isObject() ? object() : node;
        } catch (JsonProcessingException e) {
            return object();
        }
    }

    private static ApiReply failed(ExitCode exitCode, String detail) {
        return new ApiReply(
                exitCode, 0, detail, object().put("reason", "noAnswer").put("detail", detail));
    }
}
