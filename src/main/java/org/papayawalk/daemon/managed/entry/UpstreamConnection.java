package org.papayawalk.daemon.managed.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.http.NestedHead;
import org.papayawalk.http.ResponseOverhead;
import org.papayawalk.log.Event;
import org.papayawalk.platform.HeaderCodec;

/**
 * Connection to an upstream that carries one request at a time, and each id once. A response is
 * accepted only if it carries the id of the current request; without an id, only a failure in
 * response to the first request. A late response to an earlier request is skipped. The connection
 * is used again only if its upstream has sent nothing but the response, with its id. Confined to
 * the event loop thread.
 */
final class UpstreamConnection extends ChannelDuplexHandler {
    /** Time for which an idle connection is reused if the upstream states no keep-alive timeout. */
    private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(4);

    /**
     * Share of the upstream's keep-alive timeout for which an idle connection is reused. It is less
     * than 1 so that the upstream does not close the connection first.
     */
    private static final double KEEP_ALIVE_SHARE = 0.6;

    /** Bytes of the request in flight that are not part of the response's body. */
    private final ResponseOverhead overhead = new ResponseOverhead();

    private final UpstreamResponseDecoder decoder =
            new UpstreamResponseDecoder(
                    overhead, this::isInFlight, this::receivedIdle, this::checkOverhead);

    private final InstantSource clock;

    private final Consumer<UpstreamConnection> releaseToPool;

    private Channel channel;

    /** Listener of the request in flight; null if there is none. */
    private UpstreamListener listener;

    /** Id of the request in flight. */
    private String requestId = "";

    /** Whether the current response belongs to another request or is informational (1xx). */
    private boolean skippingResponse;

    /** Whether the request was written completely. */
    private boolean requestWritten;

    /** What tells the end of the current response's body. */
    private BodyEnd bodyEnd = BodyEnd.CONNECTION;

    /** Whether a response to another request was received. */
    private boolean strayReceived;

    /** Whether the connection can be reused after the current response. */
    private boolean keepAlive;

    /** Requests that were sent. */
    private final CarriedIds carried = new CarriedIds();

    private Duration idleLimit = DEFAULT_IDLE_LIMIT;

    private Instant idleSince = Instant.MIN;

    /**
     * Creates a connection that is not open yet.
     *
     * @param clock monotonic clock
     * @param releaseToPool receives the connection whenever it can be reused
     */
    UpstreamConnection(InstantSource clock, Consumer<UpstreamConnection> releaseToPool) {
        this.clock = clock;
        this.releaseToPool = releaseToPool;
    }

    /**
     * Returns the response decoder, which precedes this handler in the pipeline.
     *
     * @return decoder
     */
    HttpResponseDecoder decoder() {
        return decoder;
    }

    /**
     * Sends a request.
     *
     * @param request request; released after it is written
     * @param id id of the request
     * @param newListener listener for the request
     */
    void send(FullHttpRequest request, String id, UpstreamListener newListener) {
        listener = newListener;
        requestId = id;
        carried.add(id);
        skippingResponse = false;
        requestWritten = false;
        keepAlive = false;
        decoder.method(request.method());
        overhead.reset();
        newListener.onSent();
        channel.writeAndFlush(request)
                .addListener(
                        write -> {
                            requestWritten = write.isSuccess();
                            if (!write.isSuccess()) {
                                fail("cannot write the request: " + write.cause());
                            }
                        });
    }

    /**
     * Returns whether the idle connection can carry another request.
     *
     * @param now present time
     * @return true if it is open and its idle limit has not passed
     */
    boolean isUsable(Instant now) {
        return channel.isActive() && idleSince.plus(idleLimit).isAfter(now);
    }

    /**
     * Returns whether the answer to a request could be told from those to earlier ones here.
     *
     * @param id id of the request
     * @return false if the connection may have carried that id, or has carried too many
     */
    boolean admits(String id) {
        return !id.isEmpty() && carried.admits(id);
    }

    /** Closes the connection without a report to the listener of the request in flight, if any. */
    void abandon() {
        listener = null;
        channel.close();
    }

    /**
     * Applies or lifts backpressure on the upstream.
     *
     * @param enabled whether to read from the connection
     */
    void setReadEnabled(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            readPart((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed before the response was complete");
    }

    // Only the peer ends a body that has neither a length nor chunks.
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        fail("connection closed by this host before the response was complete");
        context.close(promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
        context.close();
    }

    private void readPart(HttpObject part) {
        if (listener == null) {
            channel.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            refuse("malformed HTTP response: " + part.decoderResult().cause().getMessage());
            return;
        }
        if (part instanceof HttpResponse response) {
            readHead(response);
        }
        if (part instanceof HttpContent content && listener != null) {
            readBody(content);
        }
    }

    private void readHead(HttpResponse response) {
        if (NestedHead.isIn(response)) {
            refuse("another response begins inside the head of a response");
            return;
        }
        ResponseMetadata metadata = HeaderCodec.responseMetadata(response.headers());
        boolean preliminary = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean foreign =
                metadata.requestId().isPresent() && !metadata.requestId().get().equals(requestId);
        boolean mayLackId =
                carried.count() == 1 && response.status().codeClass() != HttpStatusClass.SUCCESS;
        boolean withoutId = metadata.requestId().isEmpty() && !mayLackId;
        skippingResponse = preliminary || foreign;
        if (foreign) {
            unasked("other-request").with("other_id", metadata.requestId().get()).info();
            strayReceived = true;
        }
        if (skippingResponse) {
            return;
        }
        if (withoutId) {
            refuse(
                    "response with status "
                            + response.status().code()
                            + " names no request or several, expected '"
                            + requestId
                            + "'");
            return;
        }
        bodyEnd = bodyEnd(response);
        keepAlive =
                HttpUtil.isKeepAlive(response)
                        && bodyEnd != BodyEnd.CONNECTION
                        && metadata.requestId().isPresent()
                        && !strayReceived
                        && !decoder.isHead()
                        && !carried.isFull();
        idleLimit = DEFAULT_IDLE_LIMIT;
        metadata.keepAliveSeconds()
                .ifPresent(
                        s -> idleLimit = Duration.ofMillis((long) (s * 1000 * KEEP_ALIVE_SHARE)));
        listener.onHead(response, metadata);
    }

    private void readBody(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (last && NestedHead.isIn(((LastHttpContent) content).trailingHeaders())) {
            refuse("another response begins inside the trailers of a response");
            return;
        }
        int length = content.content().readableBytes();
        if (skippingResponse) {
            overhead.skipped(length);
            skippingResponse = !last;
            return;
        }
        overhead.body(length);
        if (listener != null && length > 0) {
            listener.onData(content.content());
        }
        if (!last || listener == null) {
            return;
        }
        UpstreamListener finished = listener;
        listener = null;
        int bytesBehind = decoder.undecodedBytes();
        if (bytesBehind > 0) {
            unasked("behind-response").with("bytes", bytesBehind).info();
        }
        setReadEnabled(true);
        if (keepAlive && requestWritten && bytesBehind == 0) {
            idleSince = clock.instant();
            releaseToPool.accept(this);
        } else {
            channel.close();
        }
        finished.onComplete(bodyEnd);
    }

    private boolean isInFlight() {
        return listener != null;
    }

    // No request is in flight.
    private void receivedIdle(int bytes) {
        unasked("idle").with("bytes", bytes).info();
        channel.close();
    }

    // Starts the log entry of bytes that do not belong to the request in flight.
    private Event unasked(String where) {
        return Event.named("upstream-bytes-unasked")
                .with("where", where)
                .with("upstream", channel.remoteAddress())
                .with("id", requestId)
                .with("requests", carried.count());
    }

    // Ends a response whose bytes never become an answer.
    private void checkOverhead() {
        Optional<String> violation = overhead.violation();
        if (listener == null || violation.isEmpty()) {
            return;
        }
        refuse(violation.get());
    }

    private void refuse(String reason) {
        fail(reason);
        channel.close();
    }

    // Reports once that no complete response will be received.
    private void fail(String reason) {
        UpstreamListener failed = listener;
        listener = null;
        if (failed != null) {
            failed.onFailure(reason, true);
        }
    }

    private BodyEnd bodyEnd(HttpMessage response) {
        if (decoder.isContentAlwaysEmpty(response)) {
            return BodyEnd.LENGTH;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return BodyEnd.LAST_CHUNK;
        }
        return HttpUtil.isContentLengthSet(response) ? BodyEnd.LENGTH : BodyEnd.CONNECTION;
    }
}
