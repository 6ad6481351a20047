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
 * A keep-alive connection to a server that sends one request at a time, each with its own time limit; further requests
 * wait in a queue. After a failure or a timeout the underlying connection is closed and the next request opens a new one.
 *
 * <p>Example: {@code lane.send("GET", "/healthz", List.of(), new byte[0], 500, result -> ...);} Results are
 * delivered on the I/O thread.
 */
public final class HttpConnection {
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final String address;
    private final Deque<PendingRequest> queue = new ArrayDeque<>();
    private ClientConnection connection;
    private PendingRequest current;
    private boolean closed;

    /** A request that is queued or in flight, with the consumer of its result. */
    private static final class PendingRequest {
        final ClientRequest request;
        final byte[] body;
        final long timeoutMs;
        final Consumer<HttpResult> callback;
        HttpAttempt attempt;
        boolean done;

        PendingRequest(ClientRequest request, byte[] body, long timeoutMs, Consumer<HttpResult> callback) {
            this.request = request;
            this.body = body;
            this.timeoutMs = timeoutMs;
            this.callback = callback;
        }

        void complete(HttpResult result) {
            if (!done) {
                done = true;
                callback.accept(result);
            }
        }
    }

    /**
     * Creates a lane, which connects when the first request is sent.
     *
     * @param thread the I/O thread that owns the lane's state
     * @param buffers the pool of I/O buffers
     * @param address {@code host:port}
     */
    public HttpConnection(XnioIoThread thread, ByteBufferPool buffers, String address) {
        this.thread = thread;
        this.buffers = buffers;
        this.address = address;
    }

    /**
     * Queues a request behind those sent before it.
     *
     * @param method the HTTP method
     * @param path the path and query string
     * @param headers additional headers
     * @param body the request body; one that is not empty is sent as {@code application/json}
     * @param timeoutMs the time limit for the connection and the complete response, in milliseconds; time in the queue does
     *     not count
     * @param callback receives the result exactly once
     */
    public void send(
            String method,
            String path,
            List<HttpHeader> headers,
            byte[] body,
            long timeoutMs,
            Consumer<HttpResult> callback) {
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address);
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        headers.forEach(header -> request.getRequestHeaders().put(new HttpString(header.name()), header.value()));
        PendingRequest pending = new PendingRequest(request, body, timeoutMs, callback);
        thread.execute(() -> {
            queue.add(pending);
            sendNext();
        });
    }

    /** Closes the connection; queued requests and later ones end with {@link HttpResult.NotSent}. */
    public void close() {
        thread.execute(() -> {
            closed = true;
            IoUtils.safeClose(connection);
            connection = null;
            sendNext();
        });
    }

    /**
     * Returns the number of requests that are queued or in flight; to be called on the I/O thread only.
     *
     * @return the number of requests
     */
    public int pendingRequests() {
        return queue.size() + (current == null ? 0 : 1);
    }

    private void sendNext() {
        if (current != null || queue.isEmpty()) {
            return;
        }
        if (closed) {
            queue.poll().complete(new HttpResult.NotSent());
            sendNext();
            return;
        }
        current = queue.poll();
        PendingRequest pending = current;
        thread.executeAfter(() -> onTimeout(pending), pending.timeoutMs, TimeUnit.MILLISECONDS);
        if (connection != null && connection.isOpen()) {
            transmit(pending);
        } else {
            connect(pending);
        }
    }

    private void connect(PendingRequest pending) {
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection newConnection) {
                                onConnected(pending, newConnection);
                            }

                            @Override
                            public void failed(IOException _error) {
                                completeAndSendNext(pending, new HttpResult.NotSent());
                            }
                        },
                        URI.create("http://" + address),
                        thread,
                        buffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    private void onConnected(PendingRequest pending, ClientConnection newConnection) {
        if (closed || pending.done) {
            IoUtils.safeClose(newConnection);
            completeAndSendNext(pending, new HttpResult.NotSent());
            return;
        }
        connection = newConnection;
        transmit(pending);
    }

    private void transmit(PendingRequest pending) {
        pending.attempt = HttpAttempt.send(
                connection,
                pending.request,
                ByteBuffer.wrap(pending.body),
                result -> thread.execute(() -> {
                    if (!(result instanceof HttpResult.Answered)) {
                        closeConnection();
                    }
                    completeAndSendNext(pending, result);
                }));
    }

    private void onTimeout(PendingRequest pending) {
        if (pending.done) {
            return;
        }
        if (pending.attempt == null) {
            completeAndSendNext(pending, new HttpResult.NotSent());
        } else {
            pending.attempt.abandon();
        }
    }

    private void closeConnection() {
        IoUtils.safeClose(connection);
        connection = null;
    }

    private void completeAndSendNext(PendingRequest pending, HttpResult result) {
        pending.complete(result);
        if (current == pending) {
            current = null;
            sendNext();
        }
    }
}
