package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decoder of callers' HTTP requests. It rejects requests that another parser could read differently
 * (request smuggling): those with both a length and chunked encoding, and those whose request line
 * is separated by anything but single spaces. It also fires {@link Progress#PARTIAL} to the next
 * handler while part of a request is buffered. The size limit of a head is the one in force when
 * its first byte is received. Confined to one event loop.
 */
final class CallerDecoder extends HttpRequestDecoder {

    /** User event fired to the next handler. */
    enum Progress {
        /** Buffered bytes do not yet form a complete head, line or chunk. */
        PARTIAL
    }

    private final IntSupplier maxHeaderBytes;

    private final ConnectionHeads heads;

    /** Value that this decoder was created with. */
    private final int headerBytes;

    /** Whether no byte of a next request was received. */
    private boolean betweenRequests = true;

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes returns the maximum size of the header section, and of the request
     *     line, in bytes, that is in force
     * @param heads creates the headers of the requests
     */
    CallerDecoder(IntSupplier maxHeaderBytes, ConnectionHeads heads) {
        this(maxHeaderBytes, heads, maxHeaderBytes.getAsInt());
    }

    private CallerDecoder(IntSupplier maxHeaderBytes, ConnectionHeads heads, int headerBytes) {
        super(
                config(headerBytes)
                        .setHeadersFactory(heads.headers())
                        .setTrailersFactory(heads.trailers()));
        this.heads = heads;
        this.maxHeaderBytes = maxHeaderBytes;
        this.headerBytes = headerBytes;
    }

    /**
     * Returns a strict configuration that accepts no ambiguous message framing.
     *
     * @param headerBytes maximum size of the header section, and of the request line, in bytes
     * @return configuration of a decoder
     */
    private static HttpDecoderConfig config(int headerBytes) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(headerBytes)
                .setMaxHeaderSize(headerBytes)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true)
                .setAllowDuplicateContentLengths(false);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (betweenRequests && maxHeaderBytes.getAsInt() != headerBytes) {
            context.pipeline().replace(this, null, new CallerDecoder(maxHeaderBytes, heads));
            context.fireChannelRead(message);
            return;
        }
        super.channelRead(context, message);
        if (actualReadableBytes() > 0) {
            context.fireUserEventTriggered(Progress.PARTIAL);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        super.decode(context, in, out);
        boolean ended = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        betweenRequests = ended && !in.isReadable();
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
        throw new IllegalArgumentException(
                "request has both Content-Length and Transfer-Encoding: chunked");
    }

    // Requires exactly one space before the word that starts at the given index.
    private static void requireSingleSpace(byte[] line, int start) {
        if (line[start - 1] != ' ' || line[start - 2] <= ' ') {
            throw new IllegalArgumentException(
                    "request line must have exactly one space between method, target and version");
        }
    }
}
