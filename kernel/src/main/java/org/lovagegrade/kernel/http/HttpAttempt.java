package org.lovagegrade.kernel.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends one request over a connection and reads the response. The connection can be reused only if the complete response
 * was read; otherwise it is closed, so that a late response can't be taken for the response to another request.
 *
 * <p>Example: {@code HttpAttempt.send(connection, request, body, result -> ...);}
 */
public final class HttpAttempt {
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final ClientConnection connection;
    private final ClientRequest request;
    private final ByteBuffer body;
    private final Consumer<HttpResult> callback;
    private final AtomicBoolean done = new AtomicBoolean();
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    private HttpAttempt(
            ClientConnection connection, ClientRequest request, ByteBuffer body, Consumer<HttpResult> callback) {
        this.connection = connection;
        this.request = request;
        this.body = body;
        this.callback = callback;
    }

    /**
     * Sends a request without waiting for the response.
     *
     * @param connection a connection without a request in flight
     * @param request the request, with a {@code Content-Length} header
     * @param body the request body
     * @param callback receives the result exactly once, on the connection's I/O thread or on the thread that abandons the
     *     attempt
     * @return the attempt, so that the caller can abandon it on a timeout
     */
    public static HttpAttempt send(
            ClientConnection connection, ClientRequest request, ByteBuffer body, Consumer<HttpResult> callback) {
        HttpAttempt attempt = new HttpAttempt(connection, request, body, callback);
        connection.getIoThread().execute(attempt::start);
        return attempt;
    }

    /** Stops waiting and closes the connection; the result is {@link HttpResult.FailureCause#ABANDONED} if there is none yet. */
    public void abandon() {
        lost(HttpResult.FailureCause.ABANDONED);
    }

    private void start() {
        if (!connection.isOpen()) {
            closeWith(new HttpResult.NotSent());
            return;
        }
        connection.sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                writeBody(exchange);
            }

            @Override
            public void failed(IOException _error) {
                lost(HttpResult.FailureCause.CONNECTION_LOST);
            }
        });
    }

    private void writeBody(ClientExchange exchange) {
        exchange.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange responded) {
                readResponse(responded);
            }

            @Override
            public void failed(IOException _error) {
                lost(HttpResult.FailureCause.CONNECTION_LOST);
            }
        });
        StreamSinkChannel channel = exchange.getRequestChannel();
        channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) this::write);
        write(channel);
    }

    private void write(StreamSinkChannel channel) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                channel.suspendWrites();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            // The server may still respond, for example if it rejected the request before it had read the whole body.
            channel.suspendWrites();
        }
    }

    private void readResponse(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        if (!hasDetectableEnd(response)) {
            lost(HttpResult.FailureCause.ANSWER_WITHOUT_LENGTH);
            return;
        }
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) source -> read(source, response));
        read(channel, response);
    }

    private void read(StreamSourceChannel channel, ClientResponse response) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
        try {
            int count = channel.read(buffer);
            while (count > 0) {
                received.write(buffer.array(), 0, count);
                buffer.clear();
                if (received.size() > MAX_RESPONSE_BYTES) {
                    lost(HttpResult.FailureCause.ANSWER_TOO_LARGE);
                    return;
                }
                count = channel.read(buffer);
            }
            if (count < 0) {
                complete(response);
            } else {
                channel.resumeReads();
            }
        } catch (IOException e) {
            lost(HttpResult.FailureCause.ANSWER_CUT_SHORT);
        }
    }

    private boolean hasDetectableEnd(ClientResponse response) {
        int status = response.getResponseCode();
        return response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)
                || status == StatusCodes.NO_CONTENT
                || status == StatusCodes.NOT_MODIFIED
                || request.getMethod().equals(Methods.HEAD);
    }

    private void complete(ClientResponse response) {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : response.getResponseHeaders()) {
            for (String value : values) {
                headers.add(new HttpHeader(values.getHeaderName().toString(), value));
            }
        }
        if (done.compareAndSet(false, true)) {
            ByteBuffer responseBody = ByteBuffer.wrap(received.toByteArray()).asReadOnlyBuffer();
            callback.accept(new HttpResult.Answered(response.getResponseCode(), List.copyOf(headers), responseBody));
        }
    }

    private void lost(HttpResult.FailureCause cause) {
        closeWith(new HttpResult.Lost(cause));
    }

    private void closeWith(HttpResult result) {
        if (done.compareAndSet(false, true)) {
            connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
            callback.accept(result);
        }
    }
}
