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
 * One request on one connection. The connection is fit for another only if the whole answer was read; in every other
 * case it is closed, so that nothing that comes late can reach another request.
 *
 * <p>Example: {@code HttpAttempt.send(connection, request, body, result -> ...);}
 */
public final class HttpAttempt {
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final int READ_BYTES = 16 * 1024;

    private final ClientConnection connection;
    private final ClientRequest request;
    private final ByteBuffer body;
    private final Consumer<HttpResult> result;
    private final AtomicBoolean done = new AtomicBoolean();
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    private HttpAttempt(
            ClientConnection connection, ClientRequest request, ByteBuffer body, Consumer<HttpResult> result) {
        this.connection = connection;
        this.request = request;
        this.body = body;
        this.result = result;
    }

    /**
     * Sends a request.
     *
     * @param connection a connection with no request outstanding
     * @param request the request, with its length stated
     * @param body the body
     * @param result takes the result, once, on the connection's thread
     * @return the attempt, to be abandoned on a timeout
     */
    public static HttpAttempt send(
            ClientConnection connection, ClientRequest request, ByteBuffer body, Consumer<HttpResult> result) {
        HttpAttempt attempt = new HttpAttempt(connection, request, body, result);
        connection.getIoThread().execute(attempt::start);
        return attempt;
    }

    /** Gives up on the answer and closes the connection; tells {@link HttpResult.Loss#ABANDONED} if nothing came. */
    public void abandon() {
        lost(HttpResult.Loss.ABANDONED);
    }

    private void start() {
        if (!connection.isOpen()) {
            finishAndClose(new HttpResult.NotSent());
            return;
        }
        connection.sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchanged(exchange);
            }

            @Override
            public void failed(IOException _error) {
                lost(HttpResult.Loss.CONNECTION_LOST);
            }
        });
    }

    private void exchanged(ClientExchange exchange) {
        exchange.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange answered) {
                readAnswer(answered);
            }

            @Override
            public void failed(IOException _error) {
                lost(HttpResult.Loss.CONNECTION_LOST);
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
            // The answer may still come, for example a refusal sent before the whole body was read.
            channel.suspendWrites();
        }
    }

    private void readAnswer(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        if (!saysWhereItEnds(response)) {
            lost(HttpResult.Loss.ANSWER_WITHOUT_LENGTH);
            return;
        }
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) source -> read(source, response));
        read(channel, response);
    }

    private void read(StreamSourceChannel channel, ClientResponse response) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        try {
            int count = channel.read(buffer);
            while (count > 0) {
                received.write(buffer.array(), 0, count);
                buffer.clear();
                if (received.size() > MAX_ANSWER_BYTES) {
                    lost(HttpResult.Loss.ANSWER_TOO_LARGE);
                    return;
                }
                count = channel.read(buffer);
            }
            if (count < 0) {
                whole(response);
            } else {
                channel.resumeReads();
            }
        } catch (IOException e) {
            lost(HttpResult.Loss.ANSWER_CUT_SHORT);
        }
    }

    private boolean saysWhereItEnds(ClientResponse response) {
        int status = response.getResponseCode();
        return response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)
                || status == StatusCodes.NO_CONTENT
                || status == StatusCodes.NOT_MODIFIED
                || request.getMethod().equals(Methods.HEAD);
    }

    private void whole(ClientResponse response) {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : response.getResponseHeaders()) {
            for (String value : values) {
                headers.add(new HttpHeader(values.getHeaderName().toString(), value));
            }
        }
        if (done.compareAndSet(false, true)) {
            ByteBuffer answer = ByteBuffer.wrap(received.toByteArray()).asReadOnlyBuffer();
            result.accept(new HttpResult.Whole(response.getResponseCode(), List.copyOf(headers), answer));
        }
    }

    private void lost(HttpResult.Loss loss) {
        finishAndClose(new HttpResult.Lost(loss));
    }

    private void finishAndClose(HttpResult answer) {
        if (done.compareAndSet(false, true)) {
            connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
            result.accept(answer);
        }
    }
}
