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
 * Sends requests to the entries. A retryable request is sent again, to the next entry, until a definite answer arrives or
 * the time is up; an entry answers a repeated request id with its first answer.
 *
 * <p>Example: {@code client.send(ApiRequest.get("/v1/status"))}
 */
public final class ApiClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ATTEMPT_TIMEOUT_MS = 12_000;
    private static final long RETRY_TIMEOUT_MS = 30_000;
    private static final long UNREACHABLE_TIMEOUT_MS = 3_000;
    private static final long RETRY_DELAY_MS = 200;
    private static final int FIRST_ERROR_STATUS = 400;

    private final SimpleHttpClient http = SimpleHttpClient.create();
    private final Clock clock = Clock.monotonic();
    private final List<String> entries;

    /**
     * Creates a client.
     *
     * @param entries the addresses of the entries, as {@code host:port}, tried in this order
     */
    public ApiClient(List<String> entries) {
        this.entries = List.copyOf(entries);
    }

    /**
     * Sends a request and waits for its outcome. Attempts are made for 3 s while no entry is reachable, and for 30 s more
     * once one has been; a request that is not retryable is only repeated if it was not sent.
     *
     * @param request the request
     * @return the reply of an entry, or a reply made here if none answered
     */
    public ApiReply send(ApiRequest request) {
        long deadlineMs = clock.nowMs() + UNREACHABLE_TIMEOUT_MS;
        boolean reached = false;
        boolean mayHaveRun = false;
        ApiReply lastReply = clientFailure(ExitCode.REFUSED, "no entry could be reached at " + entries);
        for (int attempts = 0; clock.nowMs() < deadlineMs; attempts++) {
            HttpResult result = attempt(request, entries.get(attempts % entries.size()));
            if (!reached && !(result instanceof HttpResult.NotSent)) {
                reached = true;
                deadlineMs += RETRY_TIMEOUT_MS;
            }
            if (result instanceof HttpResult.Answered answered) {
                ApiReply reply = toReply(answered);
                boolean noLeader = reply.json().path("reason").asText().equals("noLeader");
                boolean outcomeUnknown = reply.exitCode() == ExitCode.OUTCOME_UNKNOWN;
                if (!request.retryable() || !(noLeader || outcomeUnknown)) {
                    return mayHaveRun && reply.exitCode() == ExitCode.REFUSED && noLeader
                            ? clientFailure(ExitCode.OUTCOME_UNKNOWN, "an earlier attempt may have run")
                            : reply;
                }
                mayHaveRun |= outcomeUnknown;
                lastReply = reply;
            } else if (result instanceof HttpResult.Lost) {
                mayHaveRun = true;
                lastReply = clientFailure(ExitCode.OUTCOME_UNKNOWN, "the connection to the entry broke");
                if (!request.retryable()) {
                    return lastReply;
                }
            }
            if (attempts % entries.size() == entries.size() - 1 && !waitBeforeRetry()) {
                return lastReply;
            }
        }
        return mayHaveRun ? clientFailure(ExitCode.OUTCOME_UNKNOWN, "no answer in time") : lastReply;
    }

    /**
     * Creates an empty JSON object.
     *
     * @return the object
     */
    public static ObjectNode newObject() {
        return JSON.createObjectNode();
    }

    @Override
    public void close() {
        http.close();
    }

    private HttpResult attempt(ApiRequest request, String entry) {
        List<HttpHeader> headers = new ArrayList<>(request.headers());
        byte[] body = request.body().getBytes(StandardCharsets.UTF_8);
        return http.send(entry, request.method(), request.path(), headers, body, ATTEMPT_TIMEOUT_MS);
    }

    private static boolean waitBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static ApiReply toReply(HttpResult.Answered answered) {
        String outcome = answered.header("Lovagegrade-Outcome");
        ExitCode exitCode = ExitCode.SUCCESS;
        if (outcome.equals("unknown")) {
            exitCode = ExitCode.OUTCOME_UNKNOWN;
        } else if (outcome.equals("not-run") || answered.status() >= FIRST_ERROR_STATUS) {
            exitCode = ExitCode.REFUSED;
        }
        return new ApiReply(exitCode, answered.status(), answered.text(), parse(answered.text()));
    }

    private static JsonNode parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node == null || !node.isObject() ? newObject() : node;
        } catch (JsonProcessingException e) {
            return newObject();
        }
    }

    private static ApiReply clientFailure(ExitCode exitCode, String detail) {
        return new ApiReply(
                exitCode, 0, detail, newObject().put("reason", "noAnswer").put("detail", detail));
    }
}
