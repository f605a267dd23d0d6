package org.papayawalk.daemon.managed.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decoder of callers' requests. A request with a length and chunks at once, or with other
 * separators than single spaces in its first line, is rejected, because another reader might read
 * it otherwise. Tells the next handler when a part of a request has come. Confined to one event
 * loop.
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

    /**
     * Returns the limits of a decoder, which reads nothing that could be read in two ways.
     *
     * @param headerBytes most bytes of a head, and of its first line
     * @return limits
     */
    static HttpDecoderConfig config(int headerBytes) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(headerBytes)
                .setMaxHeaderSize(headerBytes)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true)
                .setAllowDuplicateContentLengths(false);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        if (actualReadableBytes() > 0) {
            context.fireUserEventTriggered(Progress.PARTIAL);
        }
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        requireSingleSpace(line, start);
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        requireSingleSpace(line, start);
        return super.splitThirdWordInitialLine(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has a length and chunks at once");
    }

    /**
     * Checks that one space, and nothing else, separates a word of the first line from the one
     * before.
     *
     * @param line bytes of the line
     * @param start place of the word
     */
    private static void requireSingleSpace(byte[] line, int start) {
        if (line[start - 1] != ' ' || line[start - 2] <= ' ') {
            throw new IllegalArgumentException("words of the request line are not one space apart");
        }
    }
}
