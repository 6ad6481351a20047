package org.lovagegrade.kernel.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.lovagegrade.kernel.Service;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Creates keep-alive connections that share one I/O thread.
 *
 * <p>Example: {@code HttpConnection lane = lanes.connectionTo("10.0.0.1:8080");}
 */
public final class HttpConnectionFactory implements Service {
    /** The name of this service. */
    public static final String NAME = "httpLanes";

    private static final int BUFFER_BYTES = 8 * 1024;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);

    private HttpConnectionFactory(XnioWorker worker) {
        this.worker = worker;
    }

    /**
     * Creates the service and its I/O thread.
     *
     * @return the service
     */
    public static HttpConnectionFactory create() {
        try {
            return new HttpConnectionFactory(Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.THREAD_DAEMON, true)
                            .getMap()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Creates a lane.
     *
     * @param address {@code host:port}
     * @return the lane, not yet connected
     */
    public HttpConnection connectionTo(String address) {
        return new HttpConnection(worker.getIoThread(), buffers, address);
    }

    /**
     * Returns the XNIO worker of this service, for a server that shares its I/O thread.
     *
     * @return the worker
     */
    public XnioWorker worker() {
        return worker;
    }

    /**
     * Returns the pool of I/O buffers, for a server that shares it.
     *
     * @return the pool
     */
    public ByteBufferPool buffers() {
        return buffers;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        worker.shutdownNow();
    }
}
