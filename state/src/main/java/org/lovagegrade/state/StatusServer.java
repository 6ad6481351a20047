package org.lovagegrade.state;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.replica.Replica;
import org.lovagegrade.wire.Address;

/** Serves a replica's metrics and health over HTTP. */
public final class StatusServer implements Service {
    /** The name of this service. */
    public static final String NAME = "statusServer";

    private final Undertow server;
    private final Metrics metrics;
    private final Replica replica;

    /**
     * Creates the server.
     *
     * @param listen where to listen
     * @param metrics what to serve under {@code /metrics}
     * @param replica whose state to serve under {@code /healthz}
     */
    public StatusServer(Address listen, Metrics metrics, Replica replica) {
        this.metrics = metrics;
        this.replica = replica;
        this.server = Undertow.builder()
                .addHttpListener(listen.port(), listen.host())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(this::serve)
                .build();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        server.start();
    }

    @Override
    public void stop() {
        server.stop();
    }

    private void serve(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/metrics")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
            exchange.getResponseSender().send(metrics.scrape());
            return;
        }
        if (exchange.getRequestPath().equals("/healthz")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender()
                    .send("{\"leads\":" + replica.leads() + ",\"commitIndex\":" + replica.commitIndex() + "}\n");
            return;
        }
        exchange.setStatusCode(StatusCodes.NOT_FOUND);
        exchange.getResponseSender().send("expected: /metrics or /healthz\n");
    }
}
