package org.lovagegrade.wire.internal;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.lovagegrade.wire.proto.EnvelopeProto;

/** The framing on a link: a length of four bytes, then one envelope. */
public final class EnvelopeCodec {
    /** The largest frame that is accepted, in bytes. */
    public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private EnvelopeCodec() {}

    /**
     * Adds the encoders and decoders to a channel.
     *
     * @param pipeline the pipeline of the channel
     */
    public static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(EnvelopeProto.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
