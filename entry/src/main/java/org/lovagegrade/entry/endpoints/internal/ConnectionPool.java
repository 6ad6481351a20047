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
import org.lovagegrade.entry.calls.CallDoubt;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.endpoints.EndpointAnswer;
import org.lovagegrade.entry.endpoints.EndpointProtocol;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.http.HttpAttempt;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.wire.Address;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;

/**
 * The connections to one endpoint, never more than allowed; idle ones are probed and silent ones closed. For the
 * entry's loop only.
 */
public final class ConnectionPool {
    private static final int MOST_IDLE = 8;
    private static final long CONNECT_TIMEOUT_MS = 700;
    private static final long PROBE_TIMEOUT_MS = 800;

    private final Address address;
    private final int mostConnections;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final EventLoop loop;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private int open;
    private boolean closed;

    /**
     * Creates a pool without connections.
     *
     * @param address the endpoint
     * @param mostConnections how many connections may be open at once
     * @param worker the network threads of HTTP
     * @param buffers the buffers of HTTP
     * @param loop the entry's loop
     */
    public ConnectionPool(
            Address address, int mostConnections, XnioWorker worker, ByteBufferPool buffers, EventLoop loop) {
        this.address = address;
        this.mostConnections = mostConnections;
        this.worker = worker;
        this.buffers = buffers;
        this.loop = loop;
    }

    /** A request that was sent or is waiting for its connection. */
    public static final class Ticket {
        private HttpAttempt attempt;
        private EndpointAnswer abandonedWith;

        /**
         * Gives up on the answer; the connection is closed.
         *
         * @param answer what to tell instead, if the request was sent
         */
        public void abandon(EndpointAnswer answer) {
            if (abandonedWith == null) {
                abandonedWith = answer;
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
     * @param fresh whether only a new connection will do
     * @param result takes the answer, once, on the loop
     * @return a ticket to abandon the request with
     */
    public Ticket send(ClientRequest request, ByteString body, boolean fresh, Consumer<EndpointAnswer> result) {
        Ticket ticket = new Ticket();
        ClientConnection connection = fresh ? null : takeIdle();
        if (connection != null) {
            sendOn(connection, request, body, ticket, result);
            return ticket;
        }
        if (closed || open >= mostConnections) {
            loop.execute(() -> result.accept(new EndpointAnswer.NotRun(CallRefusal.NO_CONNECTION)));
            return ticket;
        }
        open++;
        connect().thenAccept(made -> loop.execute(() -> connected(made, request, body, ticket, result)));
        return ticket;
    }

    /** Probes all idle connections and closes those that give no answer. */
    public void probeIdle() {
        for (ClientConnection connection : List.copyOf(idle)) {
            idle.remove(connection);
            ClientRequest request = requestTo(Methods.GET.toString(), EndpointProtocol.PROBE_PATH, 0);
            Ticket ticket = new Ticket();
            sendOn(connection, request, ByteString.EMPTY, ticket, _answer -> {});
            loop.schedule(
                    PROBE_TIMEOUT_MS, () -> ticket.abandon(new EndpointAnswer.Doubtful(CallDoubt.CONNECTION_SILENT)));
        }
    }

    /** Closes the idle connections; those in use are closed when they are given back. */
    public void close() {
        closed = true;
        while (!idle.isEmpty()) {
            discard(idle.poll());
        }
    }

    /**
     * Begins a request.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param bodyBytes the length of the body in bytes
     * @return the request, without other headers
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
            Ticket ticket,
            Consumer<EndpointAnswer> result) {
        ticket.attempt = HttpAttempt.send(
                connection,
                request,
                body.asReadOnlyByteBuffer(),
                came -> loop.execute(() -> {
                    boolean wasAbandoned =
                            came instanceof HttpResult.Lost lost && lost.cause() == HttpResult.FailureCause.ABANDONED;
                    EndpointAnswer answer = wasAbandoned ? ticket.abandonedWith : EndpointAnswers.from(came, request);
                    giveBack(connection, answer);
                    result.accept(answer);
                }));
    }

    private void connected(
            ClientConnection made,
            ClientRequest request,
            ByteString body,
            Ticket ticket,
            Consumer<EndpointAnswer> result) {
        if (made == null) {
            open--;
            result.accept(new EndpointAnswer.NotRun(CallRefusal.NO_CONNECTION));
        } else if (ticket.abandonedWith != null) {
            discard(made);
            result.accept(new EndpointAnswer.NotRun(CallRefusal.DEADLINE_PASSED));
        } else {
            sendOn(made, request, body, ticket, result);
        }
    }

    private void giveBack(ClientConnection connection, EndpointAnswer answer) {
        boolean wasReadWhole = answer instanceof EndpointAnswer.Whole
                || (answer instanceof EndpointAnswer.NotRun notRun && notRun.reason() == CallRefusal.ENDPOINT_REFUSED);
        if (wasReadWhole && connection.isOpen() && !closed && idle.size() < MOST_IDLE) {
            idle.addLast(connection);
        } else {
            discard(connection);
        }
    }

    private void discard(ClientConnection connection) {
        open--;
        connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
    }

    /** Completes with the connection, or with null if none could be made in time. */
    private CompletableFuture<ClientConnection> connect() {
        CompletableFuture<ClientConnection> made = new CompletableFuture<>();
        AtomicBoolean late = new AtomicBoolean();
        loop.schedule(CONNECT_TIMEOUT_MS, () -> {
            late.set(true);
            made.complete(null);
        });
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                if (late.get() || !made.complete(connection)) {
                                    IoUtils.safeClose(connection);
                                }
                            }

                            @Override
                            public void failed(IOException _error) {
                                made.complete(null);
                            }
                        },
                        URI.create("http://" + address),
                        worker,
                        buffers,
                        OptionMap.EMPTY);
        return made;
    }
}
