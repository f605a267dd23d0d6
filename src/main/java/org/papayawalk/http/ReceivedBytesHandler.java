package org.papayawalk.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.IntPredicate;

/**
 * First handler of a connection. Closes it when bytes are received that are not accepted. Confined
 * to the event loop thread.
 */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final IntPredicate accepts;

    /**
     * Creates a handler.
     *
     * @param accepts whether the given number of further bytes is accepted
     */
    ReceivedBytesHandler(IntPredicate accepts) {
        this.accepts = accepts;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (accepts.test(((ByteBuf) message).readableBytes())) {
            context.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        context.close();
    }
}
