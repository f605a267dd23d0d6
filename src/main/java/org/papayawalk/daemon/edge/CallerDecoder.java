package org.papayawalk.daemon.edge;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decoder of callers' requests. A request with a length and chunks at once is rejected, because
 * another reader might end it elsewhere. Tells the next handler when a part of a request has come.
 * Confined to one event loop.
 */
final class CallerDecoder extends HttpRequestDecoder {

    /** Event that the next handler is told of. */
    enum Progress {
        /** Bytes have come that are no whole head, line or chunk yet. */
        PARTIAL
    }

    /**
     * Creates a decoder.
     *
     * @param config limits
     */
    CallerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        if (actualReadableBytes() > 0) {
            context.fireUserEventTriggered(Progress.PARTIAL);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has a length and chunks at once");
    }
}
