package org.lovagegrade.entry.endpoints.internal;

import com.google.protobuf.ByteString;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.UnknownOutcomeReason;
import org.lovagegrade.entry.endpoints.EndpointProtocol;
import org.lovagegrade.entry.endpoints.EndpointResult;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.http.HttpAttempt;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.wire.Address;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;

/**
 * The connections to one endpoint, up to a maximum number. Idle connections are probed, and unresponsive ones closed.
 * Must be used on the entry's loop only.
 */
public final class ConnectionPool {
    private static final int MAX_IDLE_CONNECTIONS = 8;
    private static final long CONNECT_TIMEOUT_MS = 700;
    private static final long PROBE_TIMEOUT_MS = 800;

    private final Address address;
    private final int maxConnections;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final EventLoop loop;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private int openConnections;
    private boolean closed;

    /**
     * Creates a pool without connections.
     *
     * @param address the address of the endpoint
     * @param maxConnections the maximum number of open connections
     * @param worker the I/O threads of the HTTP client
     * @param buffers the buffer pool of the HTTP client
     * @param loop the entry's loop
     */
    public ConnectionPool(
            Address address, int maxConnections, XnioWorker worker, ByteBufferPool buffers, EventLoop loop) {
        this.address = address;
        this.maxConnections = maxConnections;
        this.worker = worker;
        this.buffers = buffers;
        this.loop = loop;
    }

    /** A request that was sent or waits for its connection. */
    public static final class PendingRequest {
        private HttpAttempt attempt;
        private EndpointResult abandonedWith;

        /**
         * Stops waiting for the response and closes the connection.
         *
         * @param result the result to report if the request was sent; one that was not sent is reported as not run
         */
        public void abandon(EndpointResult result) {
            if (abandonedWith == null) {
                abandonedWith = result;
            }
            if (attempt != null) {
                attempt.abandon();
            }
        }
    }

    /**
     * Sends a request on an idle connection, or on a new one.
     *
     * @param request the request
     * @param body the body
     * @param requireNewConnection whether idle connections must not be used
     * @param result receives the result exactly once, on the loop
     * @return the request, with which the caller can abandon it
     */
    public PendingRequest send(
            ClientRequest request, ByteString body, boolean requireNewConnection, Consumer<EndpointResult> result) {
        PendingRequest pending = new PendingRequest();
        ClientConnection connection = requireNewConnection ? null : takeIdle();
        if (connection != null) {
            sendOn(connection, request, body, pending, result);
            return pending;
        }
        if (closed || openConnections >= maxConnections) {
            loop.execute(() -> result.accept(new EndpointResult.NotRun(CallRefusal.NO_CONNECTION)));
            return pending;
        }
        openConnections++;
        connect()
                .thenAccept(
                        established -> loop.execute(() -> onConnected(established, request, body, pending, result)));
        return pending;
    }

    /** Probes all idle connections and closes those that do not respond. */
    public void probeIdle() {
        for (ClientConnection connection : List.copyOf(idle)) {
            idle.remove(connection);
            ClientRequest request = requestTo(Methods.GET.toString(), EndpointProtocol.PROBE_PATH, 0);
            PendingRequest pending = new PendingRequest();
            sendOn(connection, request, ByteString.EMPTY, pending, _result -> {});
            loop.schedule(
                    PROBE_TIMEOUT_MS,
                    () -> pending.abandon(new EndpointResult.Unknown(UnknownOutcomeReason.CONNECTION_SILENT)));
        }
    }

    /** Closes the idle connections; those in use are closed when they are released. */
    public void close() {
        closed = true;
        while (!idle.isEmpty()) {
            discard(idle.poll());
        }
    }

    /**
     * Creates a request to the endpoint with its length.
     *
     * @param method the HTTP method
     * @param path the path and query string
     * @param bodyBytes the length of the body in bytes
     * @return the request, without further headers
     */
    public ClientRequest requestTo(String method, String path, long bodyBytes) {
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address.toString());
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, bodyBytes);
        return request;
    }

    private ClientConnection takeIdle() {
        ClientConnection connection = idle.pollLast();
        while (connection != null && !connection.isOpen()) {
            discard(connection);
            connection = idle.pollLast();
        }
        return connection;
    }

    private void sendOn(
            ClientConnection connection,
            ClientRequest request,
            ByteString body,
            PendingRequest pending,
            Consumer<EndpointResult> result) {
        pending.attempt = HttpAttempt.send(
                connection,
                request,
                body.asReadOnlyByteBuffer(),
                httpResult -> loop.execute(() -> {
                    boolean wasAbandoned = httpResult instanceof HttpResult.Lost lost
                            && lost.cause() == HttpResult.FailureCause.ABANDONED;
                    EndpointResult endpointResult =
                            wasAbandoned ? pending.abandonedWith : EndpointResults.from(httpResult, request);
                    release(connection, endpointResult);
                    result.accept(endpointResult);
                }));
    }

    private void onConnected(
            ClientConnection connection,
            ClientRequest request,
            ByteString body,
            PendingRequest pending,
            Consumer<EndpointResult> result) {
        if (connection == null) {
            openConnections--;
            result.accept(new EndpointResult.NotRun(CallRefusal.NO_CONNECTION));
        } else if (pending.abandonedWith != null) {
            discard(connection);
            result.accept(new EndpointResult.NotRun(CallRefusal.DEADLINE_PASSED));
        } else {
            sendOn(connection, request, body, pending, result);
        }
    }

    private void release(ClientConnection connection, EndpointResult endpointResult) {
        boolean wasFullyRead = endpointResult instanceof EndpointResult.Answered
                || (endpointResult instanceof EndpointResult.NotRun notRun
                        && notRun.reason() == CallRefusal.ENDPOINT_REFUSED);
        if (wasFullyRead && connection.isOpen() && !closed && idle.size() < MAX_IDLE_CONNECTIONS) {
            idle.addLast(connection);
        } else {
            discard(connection);
        }
    }

    private void discard(ClientConnection connection) {
        openConnections--;
        connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
    }

    /** Completes with the connection, or with null if none could be established in time. */
    private CompletableFuture<ClientConnection> connect() {
        CompletableFuture<ClientConnection> connected = new CompletableFuture<>();
        AtomicBoolean timedOut = new AtomicBoolean();
        loop.schedule(CONNECT_TIMEOUT_MS, () -> {
            timedOut.set(true);
            connected.complete(null);
        });
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                if (timedOut.get() || !connected.complete(connection)) {
                                    IoUtils.safeClose(connection);
                                }
                            }

                            @Override
                            public void failed(IOException _error) {
                                connected.complete(null);
                            }
                        },
                        URI.create("http://" + address),
                        worker,
                        buffers,
                        OptionMap.EMPTY);
        return connected;
    }
}
