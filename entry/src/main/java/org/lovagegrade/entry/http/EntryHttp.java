package org.lovagegrade.entry.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.state.StateClient;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.entry.workers.HeartbeatRelay;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.proto.HeaderProto;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The HTTP interface of an entry for clients, operators, workers and endpoints. */
public final class EntryHttp implements Service {
    /** The name of this service. */
    public static final String NAME = "entryHttp";

    private static final long MAX_BODY_BYTES = 1024 * 1024;
    private static final int READ_TIMEOUT_MS = 30_000;
    private static final int PARSE_TIMEOUT_MS = 10_000;
    private static final Set<HttpString> CONNECTION_HEADERS =
            Set.of(Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING, Headers.CONNECTION, Headers.DATE);

    private final EventLoop loop;
    private final CallService calls;
    private final StatusHandlers status;
    private final Undertow server;
    private final AtomicInteger openRequests = new AtomicInteger();
    private volatile boolean leaving;

    /** The components that the interface uses. */
    public record Dependencies(
            Address listen,
            XnioWorker worker,
            ByteBufferPool buffers,
            Set<String> operatorKeyDigests,
            StateClient state,
            ViewKeeper views,
            CallService calls,
            EndpointDirectory directory,
            EventLoop loop,
            Clock clock,
            Metrics metrics) {}

    /**
     * Creates the interface.
     *
     * @param dependencies the components that it uses
     */
    public EntryHttp(Dependencies dependencies) {
        this.loop = dependencies.loop();
        this.calls = dependencies.calls();
        LeaderGateway leader = new LeaderGateway(dependencies.state(), loop);
        OperatorKeys operatorKeys = new OperatorKeys(dependencies.operatorKeyDigests());
        this.status = new StatusHandlers(
                leader, operatorKeys, dependencies.views(), dependencies.directory(), calls, dependencies.metrics());
        RoutingHandler routes = routes(
                new ConfigHandlers(leader, operatorKeys, dependencies.views()),
                new JobHandlers(leader, operatorKeys, dependencies.views(), calls),
                new CallHandler(calls, dependencies.views(), dependencies.clock()),
                new PlatformHandlers(new HeartbeatRelay(dependencies.state(), loop), dependencies.directory()),
                new EvacuationView(leader, operatorKeys, dependencies.views()));
        this.server = Undertow.builder()
                .addHttpListener(
                        dependencies.listen().port(), dependencies.listen().host())
                .setWorker(dependencies.worker())
                .setByteBufferPool(dependencies.buffers())
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, READ_TIMEOUT_MS * 2)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setSocketOption(Options.READ_TIMEOUT, READ_TIMEOUT_MS * 2)
                .setHandler(routes)
                .build();
    }

    /**
     * Reports to the load balancer and to clients from now on that this entry is leaving; requests are still served.
     */
    public void leave() {
        leaving = true;
        loop.execute(status::leave);
    }

    /**
     * Returns the number of requests that are being served.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return openRequests.get();
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

    private RoutingHandler routes(
            ConfigHandlers config,
            JobHandlers jobs,
            CallHandler call,
            PlatformHandlers platform,
            EvacuationView evacuations) {
        RoutingHandler routes = new RoutingHandler();
        add(routes, Methods.PUT, "/v1/teams/{id}", config::setWorkspace);
        add(routes, Methods.DELETE, "/v1/teams/{id}", config::removeWorkspace);
        add(routes, Methods.PUT, "/v1/classes/{id}", config::setClass);
        add(routes, Methods.DELETE, "/v1/classes/{id}", config::removeClass);
        add(routes, Methods.PUT, "/v1/keys/{id}", config::giveKey);
        add(routes, Methods.DELETE, "/v1/keys/{id}", config::withdrawKey);
        add(routes, Methods.PUT, "/v1/evacuations/{id}", config::evacuate);
        add(routes, Methods.DELETE, "/v1/evacuations/{id}", config::endEvacuation);
        add(routes, Methods.GET, "/v1/evacuations", evacuations::show);
        add(routes, Methods.GET, "/v1/config", config::show);
        add(routes, Methods.POST, "/v1/jobs", jobs::submit);
        add(routes, Methods.GET, "/v1/jobs", jobs::list);
        add(routes, Methods.GET, "/v1/jobs/{id}", jobs::show);
        add(routes, Methods.DELETE, "/v1/jobs/{id}", jobs::cancel);
        add(routes, Methods.GET, "/v1/jobs/{id}/explain", jobs::explain);
        add(routes, Methods.GET, "/v1/status", status::status);
        add(routes, Methods.POST, "/v1/workers/heartbeat", platform::heartbeat);
        add(routes, Methods.POST, "/v1/endpoints/announce", platform::announce);
        add(routes, Methods.GET, "/healthz", status::health);
        add(routes, Methods.GET, "/metrics", status::metrics);
        for (HttpString method :
                List.of(Methods.GET, Methods.HEAD, Methods.POST, Methods.PUT, Methods.DELETE, Methods.PATCH)) {
            add(routes, method, "/v1/call/{service}", call::call);
            add(routes, method, "/v1/call/{service}/*", call::call);
        }
        routes.setFallbackHandler(exchange -> receive(
                exchange,
                (_request, reply) ->
                        reply.accept(ApiResponse.refused(StatusCodes.NOT_FOUND, "unknownPath", "no such path"))));
        routes.setInvalidMethodHandler(exchange -> receive(
                exchange,
                (_request, reply) -> reply.accept(ApiResponse.refused(
                        StatusCodes.METHOD_NOT_ALLOWED, "wrongMethod", "this path takes another method"))));
        return routes;
    }

    private void add(RoutingHandler routes, HttpString method, String path, ApiHandler handler) {
        routes.add(method, path, exchange -> receive(exchange, handler));
    }

    private void receive(HttpServerExchange exchange, ApiHandler handler) {
        openRequests.incrementAndGet();
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            openRequests.decrementAndGet();
            next.proceed();
        });
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            send(exchange, bodyTooLarge());
            return;
        }
        exchange.setMaxEntitySize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> received.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () -> loop.execute(() -> handle(new ApiRequest(received, body), handler))),
                        (received, _error) -> {
                            received.setPersistent(false);
                            send(received, bodyTooLarge());
                        });
    }

    private ApiResponse bodyTooLarge() {
        loop.execute(() -> calls.countRefusal(CallRefusal.BODY_TOO_LARGE));
        return ApiResponse.refused(
                StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                CallRefusal.BODY_TOO_LARGE.text(),
                "expected: a whole body of at most " + MAX_BODY_BYTES + " bytes");
    }

    private void handle(ApiRequest request, ApiHandler handler) {
        try {
            handler.handle(request, response -> reply(request, response));
        } catch (SettingsException e) {
            calls.countRefusal(CallRefusal.BAD_REQUEST);
            reply(
                    request,
                    ApiResponse.refused(StatusCodes.BAD_REQUEST, CallRefusal.BAD_REQUEST.text(), e.getMessage()));
        }
    }

    private void reply(ApiRequest request, ApiResponse response) {
        request.exchange().getIoThread().execute(() -> send(request.exchange(), response));
    }

    private void send(HttpServerExchange exchange, ApiResponse response) {
        exchange.setStatusCode(response.httpStatus());
        for (HeaderProto header : response.headers()) {
            HttpString name = new HttpString(header.getName());
            if (!CONNECTION_HEADERS.contains(name)) {
                exchange.getResponseHeaders().add(name, header.getValue());
            }
        }
        exchange.getResponseHeaders().put(ApiHeaders.OUTCOME, response.outcome());
        if (leaving) {
            exchange.setPersistent(false);
        }
        ByteBuffer body = response.body().asReadOnlyByteBuffer();
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
        exchange.getResponseSender().send(body);
    }
}
