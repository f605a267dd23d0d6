package org.papayawalk.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Connection of {@link AsyncHttpClient} with at most one request in progress. Requests are sent
 * from any thread; the rest is confined to the event loop thread.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Bound of the informational (1xx) responses to one request. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 64;

    private final String address;

    private final BufferBudget budget;

    private final Consumer<ClientConnection> releaseToPool;

    private final ResponseDecoder decoder = new ResponseDecoder();

    /** Channel, null until the connection is open. */
    private volatile Channel channel;

    /** Response to the request in progress, null if there is none. */
    private volatile CompletableFuture<AsyncHttpResponse> pendingResponse;

    /** Bound of the response to the request in progress, in bytes. */
    private volatile int maxBytes;

    /** Progress of the request that was sent last, null before the first. */
    private volatile ReceiveProgress progress;

    /** Bytes received since the request was sent. */
    private int receivedBytes;

    /** Informational (1xx) responses received since the request was sent. */
    private int informationalCount;

    /** This connection in the budget of the client. */
    private final BufferBudget.Buffer bufferHandle = r -> failPending(new IOException(r));

    /** End of the last request, as {@link System#nanoTime()}. */
    private volatile long idleSinceNanos;

    /**
     * Creates a connection that is not open yet.
     *
     * @param address IP address and port of the server
     * @param budget bounds the responses that are received at the same time
     * @param releaseToPool receives the connection whenever it can carry another request
     */
    ClientConnection(
            String address, BufferBudget budget, Consumer<ClientConnection> releaseToPool) {
        this.address = address;
        this.budget = budget;
        this.releaseToPool = releaseToPool;
    }

    /**
     * Returns the handlers of the connection, this one included.
     *
     * @return handlers in the order of the pipeline
     */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {
            new ReceivedBytesHandler(this::accepts),
            new HttpRequestEncoder(),
            decoder,
            new HttpObjectAggregator(ResponseBounds.MAX_BYTES),
            this
        };
    }

    /**
     * Returns the server.
     *
     * @return IP address and port
     */
    String address() {
        return address;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        budget.release(bufferHandle);
        failPending(new IOException("connection closed before the response was complete"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failPending(cause);
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational && response.decoderResult().isSuccess()) {
            skipInformational(context);
            return;
        }
        budget.release(bufferHandle);
        CompletableFuture<AsyncHttpResponse> pending = pendingResponse;
        pendingResponse = null;
        Optional<Throwable> defect = defect(response);
        if (pending == null || defect.isPresent()) {
            context.close();
            if (pending != null) {
                pending.completeExceptionally(defect.orElseThrow());
            }
            return;
        }
        byte[] body = ByteBufUtil.getBytes(response.content());
        idleSinceNanos = System.nanoTime();
        if (HttpUtil.isKeepAlive(response) && decoder.undecodedBytes() == 0) {
            releaseToPool.accept(this);
        } else {
            context.close();
        }
        pending.complete(new AsyncHttpResponse(response.status().code(), response.headers(), body));
    }

    /**
     * Sends a request on the open connection.
     *
     * @param request request to send
     * @param response completed with the response or the cause of the failure
     * @param newProgress told of the bytes of the response
     */
    void send(
            AsyncHttpRequest request,
            CompletableFuture<AsyncHttpResponse> response,
            ReceiveProgress newProgress) {
        maxBytes = request.bounds().maxBytes();
        progress = newProgress;
        receivedBytes = 0;
        informationalCount = 0;
        pendingResponse = response;
        response.whenComplete(
                (a, e) -> {
                    if (e != null) {
                        close();
                    }
                });
        DefaultFullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()));
        message.headers().set(HttpHeaderNames.HOST, request.address());
        if (request.body().length > 0) {
            message.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        channel.writeAndFlush(message);
    }

    /**
     * Tells whether the connection may carry another request.
     *
     * @param oldest earliest acceptable end of the last request, as {@link System#nanoTime()}
     * @return true if the connection is open and its last request ended after that time
     */
    boolean isReusable(long oldest) {
        return channel.isActive() && idleSinceNanos - oldest > 0;
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    private void skipInformational(ChannelHandlerContext context) {
        informationalCount++;
        if (informationalCount > MAX_INFORMATIONAL_RESPONSES) {
            String reason = "more than %d informational responses to a request";
            failPending(new IOException(reason.formatted(MAX_INFORMATIONAL_RESPONSES)));
            context.close();
        }
    }

    // Returns why a message is no response.
    private static Optional<Throwable> defect(FullHttpResponse response) {
        if (response.decoderResult().isFailure()) {
            return Optional.of(response.decoderResult().cause());
        }
        if (NestedHead.isIn(response) || NestedHead.isIn(response.trailingHeaders())) {
            return Optional.of(
                    new IOException("another response begins inside the head of a response"));
        }
        return Optional.empty();
    }

    // Accepts no bytes while no request is in progress, and none beyond the bounds.
    private boolean accepts(int bytes) {
        if (pendingResponse == null) {
            return false;
        }
        receivedBytes += bytes;
        progress.received(System.nanoTime());
        if (receivedBytes > maxBytes) {
            failPending(new ResponseTooLongException(maxBytes));
            return false;
        }
        budget.resize(bufferHandle, receivedBytes);
        return pendingResponse != null;
    }

    private void failPending(Throwable cause) {
        CompletableFuture<AsyncHttpResponse> pending = pendingResponse;
        pendingResponse = null;
        if (pending != null) {
            pending.completeExceptionally(cause);
        }
    }
}
