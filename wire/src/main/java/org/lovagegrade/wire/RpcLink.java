package org.lovagegrade.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.wire.internal.EnvelopeCodec;
import org.lovagegrade.wire.internal.PendingRequest;
import org.lovagegrade.wire.proto.EnvelopeProto;

/**
 * A link to one other process. It connects on demand and probes the connection; a connection on which nothing is received
 * within the time limit is closed, and the next message opens a new one.
 *
 * <p>Example: {@code link.call(request, 500).thenAccept(result -> ...);} All methods may be called from any thread;
 * futures complete on the network thread.
 */
public final class RpcLink {
    private static final int CONNECT_TIMEOUT_MS = 700;
    private static final long PROBE_INTERVAL_MS = 500;
    private static final long RECEIVE_TIMEOUT_MS = 1_500;
    private static final long RECONNECT_DELAY_MS = 100;
    private static final int MAX_QUEUED_MESSAGES = 1_024;

    private final EventLoop loop;
    private final Address address;
    private final Clock clock;
    private final Deque<PendingRequest> queued = new ArrayDeque<>();
    private final Map<Long, PendingRequest> sent = new HashMap<>();
    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long nextCorrelationId = 1;
    private long lastReceivedMs;
    private long lastConnectFailureMs;

    private RpcLink(NetworkThreads loops, Address address, Clock clock) {
        this.loop = loops.group().next();
        this.address = address;
        this.clock = clock;
        this.lastConnectFailureMs = clock.nowMs() - RECONNECT_DELAY_MS;
        loop.scheduleWithFixedDelay(this::probe, PROBE_INTERVAL_MS, PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates a link, which connects when the first message is sent.
     *
     * @param loops the network threads
     * @param address the address of the other process
     * @param clock a monotonic clock
     * @return the link
     */
    public static RpcLink to(NetworkThreads loops, Address address, Clock clock) {
        return new RpcLink(loops, address, clock);
    }

    /**
     * Returns the address that this link connects to.
     *
     * @return the address of the other process
     */
    public Address address() {
        return address;
    }

    /**
     * Sends a request and returns a future of its result.
     *
     * @param request the request; its correlation id is set by this link
     * @param timeoutMs the time limit for the answer, in milliseconds
     * @return a future that completes with the result, never exceptionally
     */
    public CompletableFuture<RpcResult> call(EnvelopeProto request, long timeoutMs) {
        CompletableFuture<RpcResult> result = new CompletableFuture<>();
        loop.execute(() -> enqueue(PendingRequest.expecting(request, clock.nowMs() + timeoutMs, result)));
        loop.schedule(() -> onTimeout(result), timeoutMs, TimeUnit.MILLISECONDS);
        return result;
    }

    /**
     * Sends a one-way message; it is dropped if the link can't connect in time or its queue is full.
     *
     * @param message the message
     */
    public void send(EnvelopeProto message) {
        loop.execute(() -> enqueue(PendingRequest.oneWay(message, clock.nowMs() + RECEIVE_TIMEOUT_MS)));
    }

    /** Closes the link permanently; its queued and pending requests complete with the reason. */
    public void close() {
        loop.execute(() -> {
            closed = true;
            disconnect("link closed");
        });
    }

    private void enqueue(PendingRequest request) {
        if (closed || queued.size() >= MAX_QUEUED_MESSAGES) {
            request.notSent(closed ? "link closed" : "link congested");
            return;
        }
        queued.add(request);
        flushOrConnect();
    }

    private void flushOrConnect() {
        if (channel == null) {
            connect();
            return;
        }
        while (!queued.isEmpty() && channel.isWritable()) {
            transmit(queued.poll());
        }
        channel.flush();
    }

    private void transmit(PendingRequest request) {
        if (request.isObsolete(clock.nowMs())) {
            request.notSent("timed out before it was sent");
            return;
        }
        long correlationId = nextCorrelationId++;
        if (request.expectsAnswer()) {
            sent.put(correlationId, request);
        }
        channel.write(
                request.message().toBuilder().setCorrelationId(correlationId).build());
    }

    private void connect() {
        if (connecting || closed) {
            return;
        }
        if (clock.nowMs() - lastConnectFailureMs < RECONNECT_DELAY_MS) {
            failQueued("connection to " + address + " failed just now");
            return;
        }
        connecting = true;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        EnvelopeCodec.addTo(newChannel.pipeline());
                        newChannel.pipeline().addLast(new AnswerHandler());
                    }
                })
                .connect(address.toSocketAddress())
                .addListener((ChannelFuture attempt) -> onConnected(attempt));
    }

    private void onConnected(ChannelFuture attempt) {
        connecting = false;
        if (!attempt.isSuccess()) {
            lastConnectFailureMs = clock.nowMs();
            failQueued("no connection to " + address);
            return;
        }
        channel = attempt.channel();
        lastReceivedMs = clock.nowMs();
        flushOrConnect();
    }

    private void failQueued(String reason) {
        List<PendingRequest> failed = List.copyOf(queued);
        queued.clear();
        failed.forEach(request -> request.notSent(reason));
    }

    private void probe() {
        if (channel == null) {
            return;
        }
        if (clock.nowMs() - lastReceivedMs > RECEIVE_TIMEOUT_MS) {
            disconnect("connection to " + address + " went silent");
            return;
        }
        channel.writeAndFlush(EnvelopeProto.getDefaultInstance());
    }

    private void disconnect(String reason) {
        Channel previous = channel;
        channel = null;
        if (previous != null) {
            previous.close();
        }
        List<PendingRequest> pending = List.copyOf(sent.values());
        sent.clear();
        pending.forEach(request -> request.lost(reason));
        if (closed) {
            failQueued(reason);
        }
    }

    private void onTimeout(CompletableFuture<RpcResult> result) {
        if (result.isDone()) {
            return;
        }
        boolean wasQueued = queued.removeIf(request -> request.completes(result));
        sent.values().removeIf(request -> request.completes(result));
        result.complete(
                wasQueued
                        ? new RpcResult.NotSent("timed out before it was sent")
                        : new RpcResult.Lost("no answer from " + address + " in time"));
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<EnvelopeProto> {
        @Override
        protected void channelRead0(ChannelHandlerContext _context, EnvelopeProto answer) {
            lastReceivedMs = clock.nowMs();
            PendingRequest request = sent.remove(answer.getCorrelationId());
            if (request != null) {
                request.answered(answer);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                flushOrConnect();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                disconnect("connection to " + address + " broke");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            context.close();
        }
    }
}
