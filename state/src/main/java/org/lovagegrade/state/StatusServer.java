package org.lovagegrade.state;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.lovagegrade.kernel.Kernel;
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
    private final Kernel kernel;
    private Replica replica;

    /**
     * Creates the server.
     *
     * @param listen where to listen
     * @param metrics what to serve under {@code /metrics}
     * @param kernel holds the replica whose state to serve under {@code /healthz}
     */
    public StatusServer(Address listen, Metrics metrics, Kernel kernel) {
        this.metrics = metrics;
        this.kernel = kernel;
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
        replica = kernel.find(Replica.NAME, Replica.class);
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
