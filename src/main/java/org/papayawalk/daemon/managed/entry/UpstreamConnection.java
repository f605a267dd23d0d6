package org.papayawalk.daemon.managed.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
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
import java.util.function.Consumer;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.platform.HeaderCodec;

/**
 * Connection to an upstream. It carries one request at a time. An answer counts only if it bears
 * the id of the request; a late answer to an earlier request is passed over, and any byte that
 * comes while no request is under way closes the connection. Confined to the traffic thread.
 */
final class UpstreamConnection extends ChannelDuplexHandler {
    /** Time for which an idle connection is kept if the upstream states none. */
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(4);

    /** Part of the time that the upstream states for which a connection is kept. */
    private static final double IDLE_SHARE = 0.6;

    /** Decoder of the answers. */
    private final Decoder decoder = new Decoder();

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Takes a connection that may carry another request. */
    private final Consumer<UpstreamConnection> reusable;

    /** Channel, once it is open. */
    private Channel channel;

    /** Takes what happens to the request under way; null without one. */
    private UpstreamListener listener;

    /** Id of the request under way. */
    private String requestId = "";

    /** Whether the answer under way belongs to another request or is preliminary. */
    private boolean skipping;

    /** Whether the request was written to its end. */
    private boolean written;

    /** Whether the connection may be kept after the answer under way. */
    private boolean keepAlive;

    /** Time for which the connection is kept when idle. */
    private Duration idleLimit = DEFAULT_IDLE;

    /** When the connection became idle. */
    private Instant idleSince = Instant.MIN;

    /**
     * Creates a connection that is not open yet.
     *
     * @param clock clock that never jumps
     * @param reusable takes the connection whenever it may carry another request
     */
    UpstreamConnection(InstantSource clock, Consumer<UpstreamConnection> reusable) {
        this.clock = clock;
        this.reusable = reusable;
    }

    /**
     * Returns the decoder of the answers, which stands before this handler.
     *
     * @return decoder
     */
    HttpResponseDecoder decoder() {
        return decoder;
    }

    /**
     * Sends a request.
     *
     * @param request request; released after it was written
     * @param id id of the request
     * @param newListener takes what happens to it
     */
    void send(FullHttpRequest request, String id, UpstreamListener newListener) {
        listener = newListener;
        requestId = id;
        skipping = false;
        written = false;
        keepAlive = false;
        decoder.method = request.method();
        newListener.sent();
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            written = done.isSuccess();
                            if (!done.isSuccess()) {
                                lose("write failed: " + done.cause());
                            }
                        });
    }

    /**
     * Tells whether the connection may carry a request.
     *
     * @param now present time
     * @return true if it is open and was not idle for too long
     */
    boolean usable(Instant now) {
        return channel.isActive() && idleSince.plus(idleLimit).isAfter(now);
    }

    /** Drops the request under way, if there is one, and closes the connection. */
    void abandon() {
        listener = null;
        channel.close();
    }

    /**
     * Lets the upstream send, or holds it back while the caller does not read.
     *
     * @param flowing whether the upstream may send
     */
    void flow(boolean flowing) {
        channel.config().setAutoRead(flowing);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lose("connection closed before the answer was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        lose(String.valueOf(cause.getMessage()));
        context.close();
    }

    /**
     * Takes a part of an answer.
     *
     * @param part head or part of the body
     */
    private void read(HttpObject part) {
        if (listener == null) {
            channel.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            lose("answer is not HTTP: " + part.decoderResult().cause().getMessage());
            channel.close();
            return;
        }
        if (part instanceof HttpResponse response) {
            head(response);
        }
        if (part instanceof HttpContent content) {
            body(content);
        }
    }

    /**
     * Takes the head of an answer.
     *
     * @param response status and headers
     */
    private void head(HttpResponse response) {
        ResponseMetadata facts = HeaderCodec.responseMetadata(response.headers());
        boolean preliminary = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean foreign =
                facts.requestId().isPresent() && !facts.requestId().get().equals(requestId);
        boolean nameless =
                facts.requestId().isEmpty()
                        && response.status().codeClass() == HttpStatusClass.SUCCESS;
        skipping = preliminary || foreign;
        if (skipping) {
            return;
        }
        if (nameless) {
            lose("success does not bear the id of the request");
            channel.close();
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(response) && framed(response);
        idleLimit = DEFAULT_IDLE;
        facts.keepAliveSeconds()
                .ifPresent(s -> idleLimit = Duration.ofMillis((long) (s * 1000 * IDLE_SHARE)));
        listener.head(response, facts);
    }

    /**
     * Takes a part of a body.
     *
     * @param content part of the body
     */
    private void body(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (listener != null && content.content().isReadable()) {
            listener.data(content.content());
        }
        if (!last || listener == null) {
            return;
        }
        UpstreamListener done = listener;
        listener = null;
        flow(true);
        if (keepAlive && written) {
            idleSince = clock.instant();
            reusable.accept(this);
        } else {
            channel.close();
        }
        done.ended();
    }

    /**
     * Tells the listener that no complete answer will come.
     *
     * @param reason what happened
     */
    private void lose(String reason) {
        UpstreamListener lost = listener;
        listener = null;
        if (lost != null) {
            lost.lost(reason, true);
        }
    }

    /**
     * Tells whether the end of an answer can be told without the end of the connection.
     *
     * @param response status and headers
     * @return true if it has a length, comes in chunks or has no body
     */
    private static boolean framed(HttpMessage response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }

    /** Decoder that knows which method an answer belongs to. Confined to the traffic thread. */
    private static final class Decoder extends HttpResponseDecoder {
        /** Method of the request under way. */
        private HttpMethod method = HttpMethod.GET;

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
        }
    }
}
