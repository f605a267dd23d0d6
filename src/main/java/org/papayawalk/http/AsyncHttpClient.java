package org.papayawalk.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
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
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;

/**
 * HTTP client with a connection pool. A connection carries one request at a time and is reused for
 * requests to the same address, unless a request asks for its own. It is closed if its request
 * fails, and if bytes came behind the response, as they would be read as the next one. After a
 * timeout, idle connections to that address that have not answered since are not reused, as they
 * may be silent too. Thread-safe.
 */
public final class AsyncHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Bound of one response in bytes, with its heads and framing. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Bound of all responses that are received at the same time, in bytes. */
    private static final long MAX_BUFFERED_BYTES = 12 * 1024 * 1024;

    /** Time after which an idle connection is not reused. */
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final EventLoopGroup group;

    private final BufferBudget budget = new BufferBudget(MAX_BUFFERED_BYTES);

    /** Idle connections by address; each deque is guarded by its own monitor. */
    private final Map<String, Deque<Connection>> idle = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param group event loops of the connections
     */
    public AsyncHttpClient(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Sends a request over an idle connection, or over a new one if there is none. A server that
     * sends a response twice may let the second copy pass for the response to this request.
     *
     * @param request request to send
     * @return response with any status, or a fault; never completes exceptionally
     */
    public CompletableFuture<Either<Fault, AsyncHttpResponse>> send(AsyncHttpRequest request) {
        return send(request, Optional.ofNullable(takeIdle(request.address())), true);
    }

    /**
     * Sends a request over a new connection that carries no other one, so that a response can only
     * belong to this request.
     *
     * @param request request to send
     * @return response with any status, or a fault; never completes exceptionally
     */
    public CompletableFuture<Either<Fault, AsyncHttpResponse>> sendOnOwnConnection(
            AsyncHttpRequest request) {
        return send(request, Optional.empty(), false);
    }

    private CompletableFuture<Either<Fault, AsyncHttpResponse>> send(
            AsyncHttpRequest request, Optional<Connection> pooled, boolean reusable) {
        long sentNanos = System.nanoTime();
        CompletableFuture<AsyncHttpResponse> response = new CompletableFuture<>();
        pooled.ifPresentOrElse(
                c -> c.send(request, response), () -> connect(request, response, reusable));
        return response.orTimeout(request.timeout().toNanos(), TimeUnit.NANOSECONDS)
                .handle((a, e) -> toResult(request, sentNanos, a, e));
    }

    /**
     * Returns the memory of the responses that are being received.
     *
     * @return bytes
     */
    public long bufferedBytes() {
        return budget.heldBytes();
    }

    // The response is null if the request failed, otherwise the failure is.
    private Either<Fault, AsyncHttpResponse> toResult(
            AsyncHttpRequest request,
            long sentNanos,
            AsyncHttpResponse response,
            Throwable failure) {
        if (failure == null) {
            return Either.right(response);
        }
        if (failure instanceof TimeoutException) {
            retireIdle(request.address(), sentNanos);
        }
        return Either.left(toFault(request, failure));
    }

    // Returns null if there is no reusable connection; closes those that are too old.
    private Connection takeIdle(String address) {
        Deque<Connection> pool = idle.get(address);
        if (pool == null) {
            return null;
        }
        long oldest = System.nanoTime() - IDLE_TIMEOUT_NANOS;
        synchronized (pool) {
            while (!pool.isEmpty()) {
                Connection c = pool.removeLast();
                if (c.isReusable(oldest)) {
                    return c;
                }
                c.close();
            }
        }
        return null;
    }

    private void addIdle(Connection connection) {
        Deque<Connection> pool = idle.computeIfAbsent(connection.address, a -> new ArrayDeque<>());
        synchronized (pool) {
            pool.addLast(connection);
        }
    }

    // Closes the idle connections to an address whose last answer is older than a request.
    private void retireIdle(String address, long sentNanos) {
        Deque<Connection> pool = idle.get(address);
        if (pool == null) {
            return;
        }
        synchronized (pool) {
            pool.stream().filter(c -> !c.isReusable(sentNanos)).forEach(Connection::close);
            pool.removeIf(c -> !c.isReusable(sentNanos));
        }
    }

    private void connect(
            AsyncHttpRequest request,
            CompletableFuture<AsyncHttpResponse> response,
            boolean reusable) {
        Connection connection = new Connection(request.address(), reusable);
        Connector.connect(
                group,
                request.address(),
                CONNECT_TIMEOUT_MILLIS,
                channel -> connection.send(request, response),
                response::completeExceptionally,
                new ReceivedBytesHandler(connection::accepts),
                new HttpRequestEncoder(),
                connection.decoder,
                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                connection);
    }

    private static Fault toFault(AsyncHttpRequest request, Throwable failure) {
        String step = request.method() + " " + request.target();
        if (failure instanceof TimeoutException) {
            String reason = "no complete response within " + request.timeout().toMillis() + " ms";
            return new Fault(FaultKind.UNKNOWN_OUTCOME, step, request.address(), reason);
        }
        boolean sent = !ConnectFailures.provesNoListener(failure);
        FaultKind kind = sent ? FaultKind.UNKNOWN_OUTCOME : FaultKind.UNREACHABLE;
        return Fault.of(kind, step, request.address(), failure);
    }

    /** Connection with at most one request in progress. Requests are sent from any thread. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String address;

        private final boolean reusable;

        private final ResponseDecoder decoder = new ResponseDecoder();

        /** Channel, null until the connection is open. */
        private volatile Channel channel;

        /** Response to the request in progress, null if there is none. */
        private volatile CompletableFuture<AsyncHttpResponse> pendingResponse;

        /** Bytes received since the request was sent. */
        private int receivedBytes;

        /** This connection in the budget of the client. */
        private final BufferBudget.Buffer bufferHandle = r -> failPending(new IOException(r));

        /** End of the last request, as {@link System#nanoTime()}. */
        private volatile long idleSinceNanos;

        /**
         * Creates a connection that is not open yet.
         *
         * @param address IP address and port of the server
         * @param reusable whether it may carry more than one request
         */
        Connection(String address, boolean reusable) {
            this.address = address;
            this.reusable = reusable;
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
            boolean clean = decoder.undecodedBytes() == 0;
            if (reusable && clean && HttpUtil.isKeepAlive(response)) {
                addIdle(this);
            } else {
                context.close();
            }
            pending.complete(
                    new AsyncHttpResponse(response.status().code(), response.headers(), body));
        }

        /**
         * Sends a request on the open connection.
         *
         * @param request request to send
         * @param response completed with the response or the cause of the failure
         */
        void send(AsyncHttpRequest request, CompletableFuture<AsyncHttpResponse> response) {
            receivedBytes = 0;
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

        void close() {
            channel.close();
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
            if (receivedBytes > MAX_RESPONSE_BYTES) {
                String reason = "response is longer than " + MAX_RESPONSE_BYTES + " bytes";
                failPending(new IOException(reason));
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
}
