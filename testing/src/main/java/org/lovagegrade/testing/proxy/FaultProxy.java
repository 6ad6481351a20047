package org.lovagegrade.testing.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;

/**
 * A TCP proxy that can hold, delay, cut and refuse. What is held is neither lost nor reset: the bytes wait, as they do
 * while packets vanish, and go on when the proxy is healed.
 */
public final class FaultProxy {
    /** Passes no limit on the bytes of a connection. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    private final NetworkThreads loops;
    private final Channel server;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
    private final Map<Direction, Boolean> held = new ConcurrentHashMap<>();
    private final Map<Direction, Long> cutAfterBytes = new ConcurrentHashMap<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile Address target;
    private volatile long delayMs;
    private volatile boolean refusing;

    /** The two ways through the proxy. */
    public enum Direction {
        /** From whoever connected to the target. */
        TO_TARGET,
        /** From the target back. */
        TO_SOURCE
    }

    private FaultProxy(NetworkThreads loops, Address target) {
        this.loops = loops;
        this.target = target;
        this.server = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel source) {
                        connect(source);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Creates a proxy on a free port.
     *
     * @param loops the network threads
     * @param target where it leads
     * @return the proxy
     */
    public static FaultProxy to(NetworkThreads loops, Address target) {
        return new FaultProxy(loops, target);
    }

    /**
     * The address to connect to instead of the target's.
     *
     * @return the proxy's own address
     */
    public Address address() {
        return new Address("127.0.0.1", ((InetSocketAddress) server.localAddress()).getPort());
    }

    /**
     * Holds all bytes of one way, on present and new connections, in silence.
     *
     * @param direction the way
     * @return this proxy
     */
    public FaultProxy hold(Direction direction) {
        held.put(direction, true);
        return this;
    }

    /**
     * Holds all bytes of both ways.
     *
     * @return this proxy
     */
    public FaultProxy holdAll() {
        return hold(Direction.TO_TARGET).hold(Direction.TO_SOURCE);
    }

    /**
     * Lets present connections go silent for good, while new ones work.
     *
     * @return this proxy
     */
    public FaultProxy forgetConnections() {
        pairs.forEach(pair -> pair.forgotten = true);
        return this;
    }

    /**
     * Closes present connections.
     *
     * @return this proxy
     */
    public FaultProxy cut() {
        pairs.forEach(Pair::close);
        return this;
    }

    /**
     * Refuses new connections.
     *
     * @return this proxy
     */
    public FaultProxy refuse() {
        refusing = true;
        return cut();
    }

    /**
     * Delays all bytes.
     *
     * @param oneWayMs the delay of each way, in milliseconds
     * @return this proxy
     */
    public FaultProxy delay(long oneWayMs) {
        delayMs = oneWayMs;
        return this;
    }

    /**
     * Cuts each new connection once so many bytes went one way.
     *
     * @param direction the way
     * @param bytes how many bytes pass, or {@link #UNLIMITED}
     * @return this proxy
     */
    public FaultProxy cutAfter(Direction direction, long bytes) {
        cutAfterBytes.put(direction, bytes);
        return this;
    }

    /**
     * Ends all faults but the delay; what was held goes on, but not on connections that were forgotten.
     *
     * @return this proxy
     */
    public FaultProxy heal() {
        held.clear();
        cutAfterBytes.clear();
        refusing = false;
        pairs.forEach(Pair::resume);
        return this;
    }

    /**
     * How many connections it has accepted.
     *
     * @return the number
     */
    public int accepted() {
        return accepted.get();
    }

    /** Closes the proxy and its connections. */
    public void close() {
        server.close().syncUninterruptibly();
        cut();
    }

    private void connect(Channel source) {
        if (refusing) {
            source.close();
            return;
        }
        accepted.incrementAndGet();
        Pair pair = new Pair(source);
        pairs.add(pair);
        source.closeFuture().addListener(_future -> pair.close());
        new Bootstrap()
                .group(loops.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Quiet())
                .connect(target.toSocketAddress())
                .addListener((ChannelFuture made) -> pair.connected(made));
    }

    /** A connection from a source and the one to the target that belongs to it. */
    private final class Pair {
        private final Channel source;
        private Channel destination;
        private volatile boolean forgotten;

        Pair(Channel source) {
            this.source = source;
        }

        void connected(ChannelFuture made) {
            if (!made.isSuccess() || !source.isOpen()) {
                made.channel().close();
                close();
                return;
            }
            destination = made.channel();
            destination.closeFuture().addListener(_future -> closeSoon());
            source.pipeline().addLast(new Copier(this, Direction.TO_TARGET, destination));
            destination.pipeline().addLast(new Copier(this, Direction.TO_SOURCE, source));
            source.read();
            destination.read();
        }

        boolean isHeld(Direction direction) {
            return forgotten || held.getOrDefault(direction, false);
        }

        void resume() {
            if (forgotten || destination == null) {
                return;
            }
            source.read();
            destination.read();
        }

        /** The end of a connection is as late as its bytes. */
        void closeSoon() {
            if (isHeld(Direction.TO_SOURCE)) {
                return;
            }
            source.eventLoop().schedule(this::close, delayMs + 1, TimeUnit.MILLISECONDS);
        }

        void close() {
            pairs.remove(this);
            source.close();
            if (destination != null) {
                destination.close();
            }
        }
    }

    /** Ends a connection that fails before bytes are copied. */
    private static final class Quiet extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            context.close();
        }
    }

    /** Copies one way. */
    private final class Copier extends ChannelInboundHandlerAdapter {
        private final Pair pair;
        private final Direction direction;
        private final Channel to;
        private long passedBytes;

        Copier(Pair pair, Direction direction, Channel to) {
            this.pair = pair;
            this.direction = direction;
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (!to.isOpen()) {
                bytes.release();
                return;
            }
            if (pair.isHeld(direction)) {
                context.channel().eventLoop().schedule(() -> channelRead(context, message), 20, TimeUnit.MILLISECONDS);
                return;
            }
            long left = cutAfterBytes.getOrDefault(direction, UNLIMITED) - passedBytes;
            if (bytes.readableBytes() >= left) {
                to.writeAndFlush(bytes.readRetainedSlice((int) left)).addListener(_future -> pair.close());
                bytes.release();
                return;
            }
            passedBytes += bytes.readableBytes();
            if (delayMs == 0) {
                pass(context, bytes);
            } else {
                context.channel().eventLoop().schedule(() -> pass(context, bytes), delayMs, TimeUnit.MILLISECONDS);
            }
        }

        private void pass(ChannelHandlerContext context, ByteBuf bytes) {
            to.writeAndFlush(bytes);
            context.channel().read();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            context.close();
        }
    }
}
