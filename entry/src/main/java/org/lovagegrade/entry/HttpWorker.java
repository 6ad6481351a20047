package org.lovagegrade.entry;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.lovagegrade.kernel.Service;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The I/O threads and the buffer pool that the HTTP server and the HTTP clients share. */
final class HttpWorker implements Service {
    static final String NAME = "httpWorker";

    private static final int IO_THREADS = 2;
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);

    HttpWorker() {
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    XnioWorker worker() {
        return worker;
    }

    ByteBufferPool buffers() {
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
