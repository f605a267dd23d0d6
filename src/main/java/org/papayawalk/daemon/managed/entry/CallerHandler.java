package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.desired.CallerLimits;
import org.papayawalk.log.Event;

/**
 * Connection of a caller. Requests are read whole and answered one after the other, in order. A
 * caller that closes its connection ends its request at once. Confined to the traffic thread.
 */
final class CallerHandler extends ChannelDuplexHandler {
    /** Requests that may wait behind the one that is answered. */
    private static final int MAX_PIPELINED = 16;

    /** Time that an idle connection stays open beyond the limit on callers. */
    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofSeconds(1);

    /** What all connections share. */
    private final EntryContext entry;

    /** Bounds on callers. */
    private final CallerLimits limits;

    /** Requests that are read whole and wait for their turn. */
    private final Deque<CallerRequest> pipelined = new ArrayDeque<>();

    /** Context of the connection. */
    private ChannelHandlerContext context;

    /** Head of the request that is being read; null without one. */
    private HttpRequest head;

    /** Body of the request that is being read. */
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    /** Request that is answered; null without one. */
    private Exchange exchange;

    /** Whether the connection takes no further request. */
    private boolean closing;

    /** Ends the connection when nothing comes, or a request takes too long to come. */
    private ScheduledFuture<?> timer;

    /** Whether a head has begun to come. */
    private boolean headStarted;

    /**
     * Creates the handler of a connection.
     *
     * @param entry what all connections share
     * @param limits bounds on callers
     */
    CallerHandler(EntryContext entry, CallerLimits limits) {
        this.entry = entry;
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        entry.addCaller(this);
        startIdleTimer();
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        try {
            if (!closing) {
                readPart((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
        boolean first = event == CallerDecoder.Progress.PARTIAL && head == null && !headStarted;
        if (first && exchange == null && pipelined.isEmpty() && !closing) {
            headStarted = true;
            startTimer(limits.headerTimeout(), () -> rejectTimedOut("headers"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        entry.removeCaller(this);
        cancelTimer();
        discardPartialRequest();
        pipelined.forEach(r -> r.body().release());
        pipelined.clear();
        Exchange left = exchange;
        exchange = null;
        if (left != null) {
            left.callerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        if (exchange != null) {
            exchange.callerWritabilityChanged(context.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        context.close();
    }

    /**
     * Sends a whole answer and goes on with the next request.
     *
     * @param response answer; its length is set here
     */
    void sendResponse(FullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        boolean close = closesAfterResponse();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.writeAndFlush(response);
        exchangeFinished(close);
    }

    /**
     * Sends the head of a streamed answer.
     *
     * @param response status and headers; the framing is set here
     */
    void startStream(HttpResponse response) {
        HttpUtil.setTransferEncodingChunked(response, true);
        if (closesAfterResponse()) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.writeAndFlush(response);
    }

    /**
     * Sends a part of a streamed answer.
     *
     * @param bytes bytes of whole events
     */
    void writeStreamData(byte[] bytes) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    /** Ends a streamed answer as complete. */
    void endStream() {
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        exchangeFinished(closing);
    }

    /** Ends a streamed answer as incomplete, by closing the connection before its end mark. */
    void abortStream() {
        closing = true;
        exchange = null;
        context.close();
    }

    /**
     * Tells whether the caller takes bytes as fast as they come.
     *
     * @return false while too many are waiting to be sent
     */
    boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Closes the connection if no request is under way or being read. */
    void closeIfIdle() {
        if (exchange == null && head == null && pipelined.isEmpty()) {
            closing = true;
            context.close();
        }
    }

    /**
     * Tells whether a request is under way.
     *
     * @return true if one is being read or answered
     */
    boolean isBusy() {
        return exchange != null || head != null || !pipelined.isEmpty();
    }

    /**
     * Takes a part of a request.
     *
     * @param part head or part of the body
     */
    private void readPart(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            rejectMalformed(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            headStarted = false;
            head = request;
            startTimer(limits.idleTimeout(), () -> rejectTimedOut("body"));
            if (HttpUtil.is100ContinueExpected(request)) {
                context.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
        }
        if (part instanceof HttpContent content && head != null) {
            appendBody(content);
        }
    }

    /**
     * Takes a part of a body.
     *
     * @param content part of the body
     */
    private void appendBody(HttpContent content) {
        int length = content.content().readableBytes();
        if (body.readableBytes() + length > limits.maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long");
            return;
        }
        if (length > 0) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(length);
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            CallerRequest request = new CallerRequest(head, body, entry.clock().instant());
            cancelTimer();
            head = null;
            body = Unpooled.EMPTY_BUFFER;
            pipelined.addLast(request);
            if (pipelined.size() > MAX_PIPELINED) {
                context.channel().config().setAutoRead(false);
            }
            startNext();
        }
    }

    /** Starts with the next request if none is under way. */
    private void startNext() {
        if (exchange != null) {
            return;
        }
        if (pipelined.isEmpty()) {
            startIdleTimer();
            return;
        }
        CallerRequest request = pipelined.removeFirst();
        context.channel().config().setAutoRead(true);
        exchange = new Exchange(entry, this, request);
        exchange.start();
    }

    /**
     * Ends the exchange under way.
     *
     * @param close whether the connection ends with it
     */
    private void exchangeFinished(boolean close) {
        exchange = null;
        if (close) {
            closing = true;
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        startNext();
    }

    /**
     * Tells whether the connection ends after the answer under way.
     *
     * @return true if the caller asked for it or the daemon stops
     */
    private boolean closesAfterResponse() {
        return closing || entry.stopping() || (exchange != null && !exchange.isKeepAlive());
    }

    /**
     * Rejects bytes that are no request.
     *
     * @param cause what is wrong with them
     */
    private void rejectMalformed(Throwable cause) {
        boolean tooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        reject(
                tooLong
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST,
                String.valueOf(cause.getMessage()));
    }

    /**
     * Rejects what is being read and closes the connection, behind the answer under way.
     *
     * @param status status of the answer
     * @param reason what is wrong
     */
    private void reject(HttpResponseStatus status, String reason) {
        Event.named("request-rejected")
                .with("caller", context.channel().remoteAddress())
                .with("status", status.code())
                .with("reason", reason)
                .info();
        closing = true;
        discardPartialRequest();
        if (exchange != null) {
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Rejects a request that takes too long to come. It was not read and will not run.
     *
     * @param part what is missing
     */
    private void rejectTimedOut(String part) {
        reject(HttpResponseStatus.REQUEST_TIMEOUT, part + " took too long");
    }

    /** Drops the request that is being read. */
    private void discardPartialRequest() {
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    /** Closes the connection if no request has come after a while. */
    private void startIdleTimer() {
        startTimer(limits.idleTimeout().plus(IDLE_TIMEOUT_MARGIN), this::closeIfIdle);
    }

    /**
     * Does something if nothing else has happened by then.
     *
     * @param limit time to wait
     * @param late what to do
     */
    private void startTimer(Duration limit, Runnable late) {
        cancelTimer();
        timer = context.executor().schedule(late, limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Ends the watch for an idle connection. */
    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
