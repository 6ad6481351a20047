package org.lovagegrade.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** An HTTP server that takes and gives JSON, one request at a time for each connection. */
final class JsonServer {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Undertow server;

    /** An answer. */
    record Answer(int status, ObjectNode body) {}

    /** Takes a request; may block; an empty answer is never sent. */
    @FunctionalInterface
    interface Handler {
        /**
         * Answers a request.
         *
         * @param path the path
         * @param body the body
         * @return the answer, or empty to leave the caller without one
         */
        Optional<Answer> handle(String path, JsonNode body);
    }

    JsonServer(String host, int port, Handler handler) {
        this.server = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(1)
                .setWorkerThreads(8)
                .setHandler(exchange -> exchange.getRequestReceiver()
                        .receiveFullBytes(
                                (received, bytes) -> received.dispatch(() -> answer(received, bytes, handler))))
                .build();
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    void start() {
        server.start();
    }

    void stop() {
        server.stop();
    }

    private static void answer(HttpServerExchange exchange, byte[] bytes, Handler handler) {
        try {
            JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
            Optional<Answer> answer = handler.handle(exchange.getRequestURI(), body);
            if (answer.isPresent()) {
                exchange.setStatusCode(answer.get().status());
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                exchange.getResponseSender().send(answer.get().body().toString(), StandardCharsets.UTF_8);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
