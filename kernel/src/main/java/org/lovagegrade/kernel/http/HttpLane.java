package org.lovagegrade.kernel.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/**
 * One kept connection to a server: requests go over it one after the other, each with its own time, and a connection that
 * broke or did not answer in time is replaced with the next request.
 *
 * <p>Example: {@code lane.send("GET", "/healthz", List.of(), new byte[0], 500, result -> ...);} Results come on the
 * network thread.
 */
public final class HttpLane {
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final String address;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private ClientConnection connection;
    private Pending current;
    private boolean closed;

    /** A request and who waits for its result. */
    private static final class Pending {
        final ClientRequest request;
        final byte[] body;
        final long timeoutMs;
        final Consumer<HttpResult> result;
        HttpAttempt attempt;
        boolean done;

        Pending(ClientRequest request, byte[] body, long timeoutMs, Consumer<HttpResult> result) {
            this.request = request;
            this.body = body;
            this.timeoutMs = timeoutMs;
            this.result = result;
        }

        void finish(HttpResult answer) {
            if (!done) {
                done = true;
                result.accept(answer);
            }
        }
    }

    /**
     * Creates a lane; it connects with its first request.
     *
     * @param thread the network thread that owns the lane
     * @param buffers where buffers come from
     * @param address {@code host:port}
     */
    public HttpLane(XnioIoThread thread, ByteBufferPool buffers, String address) {
        this.thread = thread;
        this.buffers = buffers;
        this.address = address;
    }

    /**
     * Sends a request, after those that wait already.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param headers further headers
     * @param body the body
     * @param timeoutMs how long to wait for the whole answer once the request's turn has come, in milliseconds
     * @param result takes what became of it
     */
    public void send(
            String method,
            String path,
            List<HttpHeader> headers,
            byte[] body,
            long timeoutMs,
            Consumer<HttpResult> result) {
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address);
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        headers.forEach(header -> request.getRequestHeaders().put(new HttpString(header.name()), header.value()));
        Pending pending = new Pending(request, body, timeoutMs, result);
        thread.execute(() -> {
            waiting.add(pending);
            next();
        });
    }

    /** Closes the connection; what waits is told that it was not sent. */
    public void close() {
        thread.execute(() -> {
            closed = true;
            IoUtils.safeClose(connection);
            connection = null;
            next();
        });
    }

    /**
     * How many requests wait or are under way; to be asked on the network thread.
     *
     * @return the number
     */
    public int busy() {
        return waiting.size() + (current == null ? 0 : 1);
    }

    private void next() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        if (closed) {
            waiting.poll().finish(new HttpResult.NotSent());
            next();
            return;
        }
        current = waiting.poll();
        Pending turn = current;
        thread.executeAfter(() -> late(turn), turn.timeoutMs, TimeUnit.MILLISECONDS);
        if (connection != null && connection.isOpen()) {
            transmit(turn);
        } else {
            connect(turn);
        }
    }

    private void connect(Pending turn) {
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection fresh) {
                                connected(turn, fresh);
                            }

                            @Override
                            public void failed(IOException _error) {
                                ended(turn, new HttpResult.NotSent());
                            }
                        },
                        URI.create("http://" + address),
                        thread,
                        buffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    private void connected(Pending turn, ClientConnection fresh) {
        if (closed || turn.done) {
            IoUtils.safeClose(fresh);
            ended(turn, new HttpResult.NotSent());
            return;
        }
        connection = fresh;
        transmit(turn);
    }

    private void transmit(Pending turn) {
        turn.attempt = HttpAttempt.send(
                connection,
                turn.request,
                ByteBuffer.wrap(turn.body),
                answer -> thread.execute(() -> {
                    if (!(answer instanceof HttpResult.Whole)) {
                        dropConnection();
                    }
                    ended(turn, answer);
                }));
    }

    private void late(Pending turn) {
        if (turn.done) {
            return;
        }
        if (turn.attempt == null) {
            ended(turn, new HttpResult.NotSent());
        } else {
            turn.attempt.abandon();
        }
    }

    private void dropConnection() {
        IoUtils.safeClose(connection);
        connection = null;
    }

    private void ended(Pending turn, HttpResult answer) {
        turn.finish(answer);
        if (current == turn) {
            current = null;
            next();
        }
    }
}
