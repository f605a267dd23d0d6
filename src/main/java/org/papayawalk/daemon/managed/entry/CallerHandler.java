package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.admit.StopSchedule;
import org.papayawalk.log.Event;

/**
 * Connection of a caller. Each request is read completely before it is handled; pipelined requests
 * are answered one at a time and in order. When a caller closes its connection, its request is
 * cancelled at once. Confined to the event loop thread.
 */
final class CallerHandler extends ChannelDuplexHandler
        implements RequestReceiver.Listener, ReadTurns.Reader {
    /** Value of SO_LINGER with which any close resets the connection. */
    private static final int RESET_ON_CLOSE = 0;

    /** Value of SO_LINGER with which a close first sends what was written. */
    private static final int DRAIN_ON_CLOSE = -1;

    /**
     * Time for which the rest of a rejected request is read, so that its caller gets the answer.
     */
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final EntryContext entry;

    private final ConnectionHeads heads;

    private final ReadTurns turns;

    /** When the last byte was received, initially when the connection was opened. */
    private Instant lastByteAt;

    /** Complete requests that wait for the current exchange to end. */
    private final PipelinedRequests pipelined;

    private ChannelHandlerContext context;

    private UnsentResponse unsent;

    private RequestReceiver receiver;

    /** Exchange of the current request; null if there is none. */
    private Exchange exchange;

    /** Whether the caller of the current exchange understands chunks; false for HTTP/1.0. */
    private boolean chunksAccepted = true;

    /** Whether the caller of the current exchange keeps its connection open. */
    private boolean keepAlive = true;

    /** Whether the connection accepts no further request. */
    private boolean closing;

    /** Idle timeout, header timeout or body timeout, whichever applies. */
    private ConnectionTimer timer;

    private IdleCheck idle;

    /**
     * Creates the handler of a connection.
     *
     * @param entry shared state of the entry
     * @param heads headers of the requests on the connection
     */
    CallerHandler(EntryContext entry, ConnectionHeads heads) {
        this.entry = entry;
        this.heads = heads;
        this.turns = new ReadTurns(entry.turns(), this);
        this.pipelined = new PipelinedRequests(entry.callers());
    }

    /**
     * Returns the handler of the bytes before they are decoded.
     *
     * @return first handler of the connection
     */
    ReadTurns turns() {
        return turns;
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        unsent = new UnsentResponse(newContext.channel(), entry.bufferBudget());
        timer = new ConnectionTimer(newContext.executor());
        receiver = new RequestReceiver(entry, newContext, timer, this);
        lastByteAt = entry.clock().instant();
        idle = new IdleCheck(entry, timer, unsent, this::close);
        idle.start();
        entry.callers().opened(this, lastByteAt);
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        turns.partDecoded();
        try {
            if (!closing) {
                receiver.receive((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
        boolean partial = event == CallerDecoder.Progress.PARTIAL;
        if (partial && exchange == null && pipelined.isEmpty() && !closing) {
            receiver.headBegan();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        entry.callers().closed(this);
        timer.cancel();
        receiver.discard();
        pipelined.discard();
        Exchange current = exchange;
        exchange = null;
        if (current != null) {
            current.completion().callerDisconnected();
        }
        heads.release();
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
     * Sends a complete response and starts the next request, or closes the connection.
     *
     * @param response response; its Content-Length and Connection headers are set here
     */
    void sendResponse(FullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        boolean close = closesAfterResponse();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        int bytes = response.content().readableBytes();
        unsent.written(context.writeAndFlush(response), bytes);
        exchangeFinished(close);
    }

    /**
     * Sends the head of a streamed response.
     *
     * @param response status and headers; the transfer encoding is set here
     */
    void startStream(HttpResponse response) {
        HttpUtil.setTransferEncodingChunked(response, chunksAccepted);
        if (!chunksAccepted) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
        }
        if (!chunksAccepted || closesAfterResponse()) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.writeAndFlush(response);
    }

    /**
     * Sends part of a streamed response.
     *
     * @param bytes one or more complete events
     */
    void writeStreamData(byte[] bytes) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    /** Ends a streamed response as complete. */
    void endStream() {
        if (!chunksAccepted) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, DRAIN_ON_CLOSE);
        }
        unsent.written(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), 0);
        exchangeFinished(closing);
    }

    /**
     * Ends a streamed response as incomplete: closes the connection without the last chunk, or
     * resets it if the caller understands no chunks.
     */
    void abortStream() {
        closing = true;
        exchange = null;
        context.close();
    }

    /**
     * Returns whether the caller reads as fast as data is written.
     *
     * @return false while the outbound buffer is above its high-water mark
     */
    boolean isWritable() {
        return context.channel().isWritable();
    }

    /**
     * Closes the connection if no request is in progress or expected and no response is being sent.
     *
     * @param schedule decides how long a request is expected
     * @param now present time
     * @return whether the connection is closed
     */
    boolean closeIfIdle(StopSchedule schedule, Instant now) {
        if (isBusy() || !schedule.closesIdle(idle.idleSince(), now)) {
            return false;
        }
        closing = true;
        context.close();
        return true;
    }

    /**
     * Answers the current request, if any, because the entry ends. One that comes behind it is
     * refused as any other of a stop.
     */
    void endUnfinished() {
        if (exchange != null) {
            exchange.completion().endUnfinished("entry is stopping");
        }
    }

    /**
     * Returns whether the connection has no request, or part of one.
     *
     * @return false while a request is at work, or an answer is on its way
     */
    boolean isIdleOrReceiving() {
        return exchange == null && pipelined.isEmpty() && (unsent.isEmpty() || closing);
    }

    /**
     * Returns whether a request is being received and nothing of it came lately.
     *
     * @param since time since when nothing came
     * @return true if the request can be given up for another one
     */
    boolean isReceivingSince(Instant since) {
        return isIdleOrReceiving() && receiver.isReceiving() && !lastByteAt.isAfter(since);
    }

    /** Gives the connection up: refuses what is being received, and closes it. */
    void shed() {
        if (receiver.isReceiving() && !closing) {
            receiver.shed();
        } else {
            close();
        }
    }

    private void close() {
        closing = true;
        context.close();
    }

    @Override
    public void bytesReceived() {
        lastByteAt = entry.clock().instant();
        entry.callers().progressed(this);
    }

    @Override
    public boolean mayDecode() {
        return closing || (!receiver.waitsForMemory() && pipelined.hasRoom());
    }

    @Override
    public void requestReceived(CallerRequest request) {
        pipelined.add(request);
        updateReading();
        startNext();
    }

    // Reads unless too many requests wait, the body of one waits for room in memory, or bytes wait
    // to be decoded.
    @Override
    public void updateReading() {
        boolean decodes = mayDecode();
        context.channel().config().setAutoRead(decodes && !turns.isHolding());
        if (decodes) {
            turns.resume();
        }
    }

    // True if a request is being read, waits or is being answered, or if its caller has not taken
    // the whole response yet.
    private boolean isBusy() {
        boolean answering = exchange != null || !pipelined.isEmpty() || !unsent.isEmpty();
        return answering || receiver.isReceiving() || turns.isHolding();
    }

    private void startNext() {
        if (exchange != null) {
            return;
        }
        if (pipelined.isEmpty()) {
            if (!receiver.isReceiving()) {
                idle.start();
            }
            return;
        }
        CallerRequest request = pipelined.removeFirst();
        updateReading();
        chunksAccepted = request.head().protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        keepAlive = HttpUtil.isKeepAlive(request.head());
        exchange = new Exchange(entry, this, request);
        exchange.start();
    }

    // Ends the current exchange, then closes the connection or starts the next request.
    private void exchangeFinished(boolean close) {
        exchange = null;
        if (close) {
            closing = true;
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        startNext();
    }

    // True if the caller asked to close, the entry is stopping or a request was rejected.
    private boolean closesAfterResponse() {
        return closing || entry.stopping() || !keepAlive;
    }

    @Override
    public void requestRejected(
            HttpResponseStatus status, String reason, String requestId, Duration retryAfter) {
        Event.named("request-rejected")
                .with("caller", context.channel().remoteAddress())
                .with("status", status.code())
                .with("reason", reason)
                .info();
        closing = true;
        updateReading();
        if (exchange != null) {
            return;
        }
        FullHttpResponse response = LocalResponses.build(status, requestId, retryAfter);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(f -> closeAfterRequest());
    }

    // Closes the connection once its caller has had time to read the response. Closing it while
    // bytes of the request are unread would reset it, and the response would be lost.
    private void closeAfterRequest() {
        if (context.channel() instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
        timer.start(LINGER, context::close);
    }
}
