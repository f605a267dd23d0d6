package org.papayawalk.wire;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.papayawalk.wire.proto.Envelope;

/** Channel handlers common to all connections. Stateless; thread-safe. */
final class WirePipeline {
    /** Maximum size of an encoded message; larger ones close the connection. */
    private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

    /** Size of the length field in front of each message. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private WirePipeline() {}

    /**
     * Adds the handlers for framing and protobuf.
     *
     * @param pipeline pipeline of a new connection
     * @param last handler of the decoded messages, added at the end
     */
    static void addHandlers(ChannelPipeline pipeline, ChannelHandler last) {
        pipeline.addLast(new FlushConsolidationHandler());
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_MESSAGE_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES));
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(last);
    }
}
