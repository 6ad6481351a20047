package org.lovagegrade.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.lovagegrade.kernel.Service;

/** The network threads of a process, shared by all its links and servers. */
public final class NetworkThreads implements Service {
    /** The name of this service. */
    public static final String NAME = "loops";

    private static final long STOP_TIMEOUT_MS = 1_000;

    private final EventLoopGroup group;

    private NetworkThreads(int threads) {
        this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /**
     * Creates the threads, which start with their first task.
     *
     * @param threads the number of threads
     * @return the service
     */
    public static NetworkThreads withThreads(int threads) {
        return new NetworkThreads(threads);
    }

    /**
     * Returns the Netty event loop group of this service.
     *
     * @return the event loop group
     */
    public EventLoopGroup group() {
        return group;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        group.shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
