package org.lovagegrade.testing.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.lovagegrade.testing.platform.JsonServer.Answer;

/** The advice service: allows every second worker of a step and at least one, and tells for how long. */
public final class EmulatedAdviser implements AutoCloseable {
    private static final long VALID_MS = 1_500;

    private final JsonServer server;
    private final AtomicInteger asked = new AtomicInteger();

    /**
     * Creates the service.
     *
     * @param host the loopback address that it listens at
     * @param port its port
     */
    public EmulatedAdviser(String host, int port) {
        this.server = new JsonServer(host, port, (_path, body) -> advise(body));
    }

    /** Starts to listen. */
    public void start() {
        server.start();
    }

    /**
     * How often it was asked.
     *
     * @return the number of questions
     */
    public int asked() {
        return asked.get();
    }

    @Override
    public void close() {
        server.stop();
    }

    private Optional<Answer> advise(JsonNode body) {
        asked.incrementAndGet();
        ObjectNode answer = JsonServer.object();
        ArrayNode allowed = answer.putArray("allowed");
        JsonNode workers = body.path("workers");
        for (int index = 0; index < workers.size(); index += 2) {
            allowed.addArray()
                    .add(workers.get(index).asText())
                    .add("ticket-" + body.path("step").asText());
        }
        answer.put("valid_ms", VALID_MS);
        return Optional.of(new Answer(200, answer));
    }
}
