package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.papayawalk.core.call.StatusCode;
import org.papayawalk.http.ResponseOverhead;

/**
 * Decodes the responses on a connection to an upstream and counts their bytes. It uses the method
 * of the request, as a response to HEAD has no body, and decodes nothing that comes while no
 * request is in flight. Confined to the event loop thread.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private final ResponseOverhead overhead;

    private final BooleanSupplier inFlight;

    private final IntConsumer receivedIdle;

    private final Runnable received;

    private HttpMethod method = HttpMethod.GET;

    /**
     * Creates a decoder.
     *
     * @param overhead counts the bytes of the response
     * @param inFlight whether a request is in flight
     * @param receivedIdle receives the number of bytes that came while no request was in flight
     * @param received called when bytes were decoded
     */
    UpstreamResponseDecoder(
            ResponseOverhead overhead,
            BooleanSupplier inFlight,
            IntConsumer receivedIdle,
            Runnable received) {
        this.overhead = overhead;
        this.inFlight = inFlight;
        this.receivedIdle = receivedIdle;
        this.received = received;
    }

    /**
     * Sets the method of the request in flight.
     *
     * @param newMethod method
     */
    void method(HttpMethod newMethod) {
        method = newMethod;
    }

    /**
     * Returns whether the request in flight has the method HEAD.
     *
     * @return true if its response has no body, whatever length it states
     */
    boolean isHead() {
        return method.equals(HttpMethod.HEAD);
    }

    /**
     * Returns the number of bytes that were received and not decoded yet. Within the last part of a
     * response they are the bytes that came behind it.
     *
     * @return number of bytes
     */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        int bytes = ((ByteBuf) message).readableBytes();
        if (!inFlight.getAsBoolean()) {
            ReferenceCountUtil.release(message);
            receivedIdle.accept(bytes);
            return;
        }
        overhead.received(bytes);
        super.channelRead(context, message);
        received.run();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        StatusCode.require(initialLine[1]);
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHead() || super.isContentAlwaysEmpty(message);
    }
}
