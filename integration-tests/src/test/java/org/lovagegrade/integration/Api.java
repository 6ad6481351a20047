package org.lovagegrade.integration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.kernel.KeyDigest;
import org.lovagegrade.kernel.http.HttpHeader;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.kernel.http.SimpleHttpClient;

/** The HTTP interface of one entry, as callers and operators see it. */
final class Api {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MS = 15_000;

    private final SimpleHttpClient http;
    private final String address;

    Api(SimpleHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    /** An answer; status 0 stands for none. */
    record Reply(int status, String outcome, String text, JsonNode json) {
        boolean isOk() {
            return status == 200;
        }

        String reason() {
            return json.path("reason").asText();
        }
    }

    Reply get(String path) {
        return send("GET", path, Map.of(), "");
    }

    Reply operator(String method, String path, String requestId, long base, String body) {
        return send(
                method,
                path,
                Map.of(
                        "Lovagegrade-Operator-Key",
                        Fleet.OPERATOR_KEY,
                        "Lovagegrade-Request-Id",
                        requestId,
                        "Lovagegrade-Base-Revision",
                        "" + base),
                body);
    }

    Reply status() {
        return send("GET", "/v1/status", Map.of("Lovagegrade-Operator-Key", Fleet.OPERATOR_KEY), "");
    }

    Reply config() {
        return send("GET", "/v1/config", Map.of("Lovagegrade-Operator-Key", Fleet.OPERATOR_KEY), "");
    }

    Reply submit(String requestId, String key, String workClass, int tasks, double cores, String payload) {
        String body = "{\"class\": \"" + workClass + "\", \"tasks\": " + tasks + ", \"cores\": " + cores
                + ", \"memoryMb\": 16, \"payload\": \"" + payload + "\"}";
        return send("POST", "/v1/jobs", Map.of("Lovagegrade-Key", key, "Lovagegrade-Request-Id", requestId), body);
    }

    Reply job(String id, String key) {
        return send("GET", "/v1/jobs/" + id, Map.of("Lovagegrade-Key", key), "");
    }

    Reply jobs(String key) {
        return send("GET", "/v1/jobs", Map.of("Lovagegrade-Key", key), "");
    }

    Reply call(String method, String path, String key, Map<String, String> headers, String body) {
        Map<String, String> all = new TreeMap<>(headers);
        all.put("Lovagegrade-Key", key);
        all.putIfAbsent("Lovagegrade-Class", "fitting");
        return send(method, "/v1/call/orders" + path, all, body);
    }

    Reply send(String method, String path, Map<String, String> headers, String body) {
        List<HttpHeader> list = new ArrayList<>();
        headers.forEach((name, value) -> list.add(new HttpHeader(name, value)));
        HttpResult result = http.send(address, method, path, list, body.getBytes(StandardCharsets.UTF_8), TIMEOUT_MS);
        if (!(result instanceof HttpResult.Answered whole)) {
            return new Reply(
                    0, result instanceof HttpResult.NotSent ? "not-run" : "unknown", "", JSON.createObjectNode());
        }
        return new Reply(whole.status(), whole.header("Lovagegrade-Outcome"), whole.text(), parse(whole.text()));
    }

    /** The workspace, classes and key that most tests need. */
    void createBasics() {
        Await.until(
                "the team is created",
                () -> operator("PUT", "/v1/teams/norte", "make-team", 0, "{\"share\": 0.5}")
                        .isOk());
        Await.until(
                "the call class is created",
                () -> operator(
                                "PUT",
                                "/v1/classes/fitting",
                                "make-fitting",
                                0,
                                "{\"kind\": \"batch\", \"waitTargetMs\": 5000}")
                        .isOk());
        Await.until(
                "the batch class is created",
                () -> operator(
                                "PUT",
                                "/v1/classes/nightly",
                                "make-nightly",
                                0,
                                "{\"kind\": \"batch\", \"recoveryTargetMs\": 8000}")
                        .isOk());
        Await.until(
                "the key is given",
                () -> operator(
                                "PUT",
                                "/v1/keys/norte-1",
                                "make-key",
                                0,
                                "{\"team\": \"norte\", \"secretSha256\": \"" + KeyDigest.of("secret") + "\"}")
                        .isOk());
    }

    private static JsonNode parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node == null ? JSON.createObjectNode() : node;
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }
}
