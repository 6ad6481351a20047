package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Bad input gets a clear error with a reason, and the process goes on. */
final class BadInputTest {
    @TempDir
    private Path folder;

    private static Api.Reply submit(Fleet fleet, String requestId, String body) {
        return fleet.api("e1")
                .send(
                        "POST",
                        "/v1/jobs",
                        Map.of("Lovagegrade-Key", "secret", "Lovagegrade-Request-Id", requestId),
                        body);
    }

    private static void assertRefused(Api.Reply reply, int status, String reason) {
        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.outcome()).isEqualTo("not-run");
        assertThat(reply.reason()).isEqualTo(reason);
    }

    @Test
    void shouldBeRefusedWithAReasonAndLoseNothing() throws IOException {
        try (Fleet fleet = Fleet.start(folder, 1, 1)) {
            fleet.createBasics();
            String good = "{\"class\": \"nightly\", \"cores\": 1}";
            assertThat(submit(fleet, "good", good).isOk()).isTrue();

            assertRefused(
                    submit(fleet, "a", "{\"class\": \"nightly\", \"cores\": 1, \"colour\": 2}"), 400, "badRequest");
            assertRefused(submit(fleet, "b", "{\"class\": \"nightly\", \"cores\": -1}"), 400, "badRequest");
            assertRefused(submit(fleet, "c", "{\"class\": \"nightly\"}"), 400, "badRequest");
            assertRefused(submit(fleet, "d", "no json"), 400, "badRequest");
            assertRefused(submit(fleet, "odd id/../", good), 400, "badRequest");
            assertRefused(submit(fleet, "", good), 400, "badRequest");
            assertRefused(submit(fleet, "e", good + "x".repeat(2_000_000)), 413, "bodyTooLarge");
            assertRefused(submit(fleet, "f", good.replace("nightly", "none")), 404, "unknownClass");
            assertRefused(fleet.api("e1").get("/nowhere"), 404, "unknownPath");
            assertRefused(fleet.api("e1").send("PATCH", "/v1/jobs", Map.of(), ""), 405, "wrongMethod");
            assertRefused(
                    fleet.api("e1").operator("PUT", "/v1/teams/norte", "g", 1, "{\"share\": 7}"), 400, "badRequest");
            assertRefused(
                    fleet.api("e1").operator("PUT", "/v1/teams/odd%20name", "h", 0, "{\"share\": 0.1}"),
                    400,
                    "badRequest");
            assertRefused(
                    fleet.api("e1").send("PUT", "/v1/teams/x", Map.of("Lovagegrade-Operator-Key", "no"), "{}"),
                    401,
                    "wrongOperatorKey");
            sendHalfARequest(fleet);

            assertThat(fleet.program("e1").isAlive()).isTrue();
            assertThat(fleet.api("e1").job("good", "secret").isOk()).isTrue();
            assertThat(fleet.api("e1").jobs("secret").json().path("jobs").size())
                    .isEqualTo(1);
        }
    }

    private static void sendHalfARequest(Fleet fleet) throws IOException {
        String[] address = fleet.httpAddress("e1").split(":", -1);
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.getOutputStream()
                    .write("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"cla"
                            .getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }
    }
}
