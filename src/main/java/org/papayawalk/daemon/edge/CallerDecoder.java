package org.papayawalk.daemon.edge;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decoder of callers' requests. A request with a length and chunks at once is rejected, because
 * another reader might end it elsewhere. Confined to one event loop.
 */
final class CallerDecoder extends HttpRequestDecoder {

    /**
     * Creates a decoder.
     *
     * @param config limits
     */
    CallerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has a length and chunks at once");
    }
}
