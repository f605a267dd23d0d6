package org.papayawalk.wire;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.papayawalk.wire.proto.Envelope;

/** Handlers that every connection has. Holds no state; safe from any thread. */
final class WirePipeline {
    /** Largest message in bytes. */
    private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

    /** Length of the prefix that gives a message's length, in bytes. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    /** Prevents instances. */
    private WirePipeline() {}

    /**
     * Adds the handlers.
     *
     * @param pipeline pipeline of a new connection
     * @param last handler of the decoded messages
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
