package org.lovagegrade.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.internal.EnvelopeCodec;
import org.lovagegrade.wire.proto.EnvelopeProto;

/** Accepts requests from other processes of the cluster over TCP. */
public final class RpcServer implements Service {
    /** The name of this service. */
    public static final String NAME = "rpcServer";

    private final NetworkThreads loops;
    private final Address listen;
    private final RpcHandler handler;
    private Channel channel;

    private RpcServer(NetworkThreads loops, Address listen, RpcHandler handler) {
        this.loops = loops;
        this.listen = listen;
        this.handler = handler;
    }

    /**
     * Creates a server.
     *
     * @param loops the network threads
     * @param listen the address to listen at; port 0 selects a free port
     * @param handler handles the requests
     * @return the service
     */
    public static RpcServer listeningAt(NetworkThreads loops, Address listen, RpcHandler handler) {
        return new RpcServer(loops, listen, handler);
    }

    /**
     * Returns the port that this server listens at; to be called after the start.
     *
     * @return the port number
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        channel = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel child) {
                        EnvelopeCodec.addTo(child.pipeline());
                        child.pipeline().addLast(new RequestHandler());
                    }
                })
                .bind(listen.host(), listen.port())
                .syncUninterruptibly()
                .channel();
    }

    @Override
    public void stop() {
        channel.close().syncUninterruptibly();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<EnvelopeProto> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, EnvelopeProto request) {
            long correlationId = request.getCorrelationId();
            if (request.getBodyCase() == EnvelopeProto.BodyCase.BODY_NOT_SET) {
                context.writeAndFlush(request.toBuilder().setReply(true).build());
                return;
            }
            handler.handle(
                    request,
                    answer -> context.writeAndFlush(answer.toBuilder()
                            .setCorrelationId(correlationId)
                            .setReply(true)
                            .build()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Log.event("linkFailed")
                    .with("peer", String.valueOf(context.channel().remoteAddress()))
                    .with("error", cause.toString())
                    .warn();
            context.close();
        }
    }
}
