package org.papayawalk.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;

/**
 * Client for short calls. Connections are kept for further calls to the same address; one carries
 * one call at a time, and one whose call failed is closed. Thread-safe.
 */
public final class AsyncHttpClient {
    /** Longest time to connect, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Largest answer, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    /** Time after which an idle connection is not used again, in nanoseconds. */
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Event loops. */
    private final EventLoopGroup group;

    /** Idle connections by address. */
    private final Map<String, Deque<Connection>> idle = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param group event loops
     */
    public AsyncHttpClient(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Sends a call.
     *
     * @param call call to send
     * @return answer or fault; never completes exceptionally
     */
    public CompletableFuture<Either<Fault, AsyncHttpResponse>> send(AsyncHttpRequest call) {
        CompletableFuture<AsyncHttpResponse> answer = new CompletableFuture<>();
        Connection kept = takeIdle(call.address());
        if (kept == null) {
            connect(call, answer);
        } else {
            kept.send(call, answer);
        }
        return answer.orTimeout(call.timeout().toNanos(), TimeUnit.NANOSECONDS)
                .handle(
                        (a, e) ->
                                e == null
                                        ? Either.<Fault, AsyncHttpResponse>right(a)
                                        : Either.<Fault, AsyncHttpResponse>left(toFault(call, e)));
    }

    /**
     * Takes an idle connection.
     *
     * @param address address of the other side
     * @return connection, or null if there is none
     */
    private Connection takeIdle(String address) {
        Deque<Connection> kept = idle.get(address);
        if (kept == null) {
            return null;
        }
        long oldest = System.nanoTime() - IDLE_TIMEOUT_NANOS;
        synchronized (kept) {
            while (!kept.isEmpty()) {
                Connection c = kept.removeLast();
                if (c.isReusable(oldest)) {
                    return c;
                }
                c.close();
            }
        }
        return null;
    }

    /**
     * Keeps a connection for further calls.
     *
     * @param connection connection without a call
     */
    private void addIdle(Connection connection) {
        Deque<Connection> kept = idle.computeIfAbsent(connection.address, a -> new ArrayDeque<>());
        synchronized (kept) {
            kept.addLast(connection);
        }
    }

    /**
     * Opens a connection and sends a call on it.
     *
     * @param call call to send
     * @param answer takes the answer
     */
    private void connect(AsyncHttpRequest call, CompletableFuture<AsyncHttpResponse> answer) {
        Connection connection = new Connection(call.address());
        Connector.connect(
                group,
                call.address(),
                CONNECT_TIMEOUT_MILLIS,
                channel -> connection.send(call, answer),
                answer::completeExceptionally,
                new HttpClientCodec(),
                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                connection);
    }

    /**
     * Makes the fault of a failed call.
     *
     * @param call call that failed
     * @param failure cause
     * @return fault
     */
    private static Fault toFault(AsyncHttpRequest call, Throwable failure) {
        String step = call.method() + " " + call.target();
        if (failure instanceof TimeoutException) {
            String reason = "no answer within " + call.timeout().toMillis() + " ms";
            return new Fault(FaultKind.UNKNOWN_OUTCOME, step, call.address(), reason);
        }
        return Fault.of(FaultKind.UNKNOWN_OUTCOME, step, call.address(), failure);
    }

    /** One connection. Its calls come one after the other; its state changes on its event loop. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        /** Address of the other side. */
        private final String address;

        /** Channel, once it is open. */
        private volatile Channel channel;

        /** Takes the answer to the call under way; null without one. */
        private volatile CompletableFuture<AsyncHttpResponse> pendingResponse;

        /** When the last call ended, on the clock of {@link System#nanoTime()}. */
        private volatile long idleSinceNanos;

        /**
         * Creates a connection that is not open yet.
         *
         * @param address address of the other side
         */
        Connection(String address) {
            this.address = address;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            failPending(new IOException("connection closed before the answer was complete"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            failPending(cause);
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            CompletableFuture<AsyncHttpResponse> answer = pendingResponse;
            pendingResponse = null;
            boolean broken = response.decoderResult().isFailure();
            if (answer == null || broken) {
                context.close();
                if (answer != null) {
                    answer.completeExceptionally(response.decoderResult().cause());
                }
                return;
            }
            byte[] body = ByteBufUtil.getBytes(response.content());
            idleSinceNanos = System.nanoTime();
            if (HttpUtil.isKeepAlive(response)) {
                addIdle(this);
            } else {
                context.close();
            }
            answer.complete(new AsyncHttpResponse(response.status().code(), body));
        }

        /**
         * Sends a call.
         *
         * @param call call to send
         * @param answer takes the answer
         */
        void send(AsyncHttpRequest call, CompletableFuture<AsyncHttpResponse> answer) {
            pendingResponse = answer;
            answer.whenComplete(
                    (a, e) -> {
                        if (e != null) {
                            close();
                        }
                    });
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            call.method(),
                            call.target(),
                            Unpooled.wrappedBuffer(call.body()));
            request.headers().set(HttpHeaderNames.HOST, call.address());
            if (call.body().length > 0) {
                request.headers()
                        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                        .set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            channel.writeAndFlush(request);
        }

        /**
         * Tells whether the connection may carry a call.
         *
         * @param oldest time before which it must not have become idle
         * @return true if it is open and was used lately
         */
        boolean isReusable(long oldest) {
            return channel.isActive() && idleSinceNanos - oldest > 0;
        }

        /** Closes the connection. */
        void close() {
            channel.close();
        }

        /**
         * Fails the call under way.
         *
         * @param cause cause of the failure
         */
        private void failPending(Throwable cause) {
            CompletableFuture<AsyncHttpResponse> answer = pendingResponse;
            pendingResponse = null;
            if (answer != null) {
                answer.completeExceptionally(cause);
            }
        }
    }
}
