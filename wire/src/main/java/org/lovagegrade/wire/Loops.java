package org.lovagegrade.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.lovagegrade.kernel.Service;

/** The network threads that all links and servers of one process share. */
public final class Loops implements Service {
    /** The name of this service. */
    public static final String NAME = "loops";

    private static final long STOP_TIMEOUT_MS = 1_000;

    private final EventLoopGroup group;

    private Loops(int threads) {
        this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /**
     * Creates the threads; they start with their first work.
     *
     * @param threads how many
     * @return the service
     */
    public static Loops ofThreads(int threads) {
        return new Loops(threads);
    }

    /**
     * Gives the Netty group behind this service.
     *
     * @return the group
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
