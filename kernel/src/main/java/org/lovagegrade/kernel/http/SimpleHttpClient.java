package org.lovagegrade.kernel.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A simple HTTP client that opens a new connection for every request.
 *
 * <p>Example: {@code HttpResult result = caller.send("127.0.0.1:8080", "GET", "/healthz", List.of(), new byte[0], 2_000);}
 */
public final class SimpleHttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);

    private SimpleHttpClient(XnioWorker worker) {
        this.worker = worker;
    }

    /**
     * Creates a client with one I/O thread.
     *
     * @return the client
     */
    public static SimpleHttpClient create() {
        try {
            return new SimpleHttpClient(Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.THREAD_DAEMON, true)
                            .getMap()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends a request and waits for its result.
     *
     * @param address {@code host:port}
     * @param method the HTTP method
     * @param path the path and query string
     * @param headers additional headers; a {@code Host} header replaces the one made from the address
     * @param body the request body
     * @param timeoutMs the time limit for the connection and the complete response, in milliseconds
     * @return the result; {@link HttpResult.FailureCause#ABANDONED} after the time limit or an interrupt
     */
    public HttpResult send(
            String address, String method, String path, List<HttpHeader> headers, byte[] body, long timeoutMs) {
        CompletableFuture<HttpResult> result = sendAsync(address, method, path, headers, body);
        try {
            return result.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            result.complete(new HttpResult.Lost(HttpResult.FailureCause.ABANDONED));
            return result.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new HttpResult.Lost(HttpResult.FailureCause.ABANDONED);
        } catch (ExecutionException e) {
            throw new IllegalStateException("an HTTP request completed exceptionally", e);
        }
    }

    /**
     * Sends a request without waiting. The caller may complete the future itself to abandon the request.
     *
     * @param address {@code host:port}
     * @param method the HTTP method
     * @param path the path and query string
     * @param headers additional headers; a {@code Host} header replaces the one made from the address
     * @param body the request body
     * @return a future that completes with the result on the I/O thread, never exceptionally
     */
    public CompletableFuture<HttpResult> sendAsync(
            String address, String method, String path, List<HttpHeader> headers, byte[] body) {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address);
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(Headers.HOST_STRING))
                .forEach(_header -> request.getRequestHeaders().remove(Headers.HOST));
        headers.forEach(header -> request.getRequestHeaders().add(new HttpString(header.name()), header.value()));
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                transmit(connection, request, body, result);
                            }

                            @Override
                            public void failed(IOException _error) {
                                result.complete(new HttpResult.NotSent());
                            }
                        },
                        URI.create("http://" + address),
                        worker,
                        buffers,
                        OptionMap.EMPTY);
        return result;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    private static void transmit(
            ClientConnection connection, ClientRequest request, byte[] body, CompletableFuture<HttpResult> result) {
        if (result.isDone()) {
            IoUtils.safeClose(connection);
            return;
        }
        HttpAttempt attempt = HttpAttempt.send(connection, request, ByteBuffer.wrap(body), outcome -> {
            connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
            result.complete(outcome);
        });
        result.thenRun(attempt::abandon);
    }
}
