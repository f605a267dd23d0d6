package org.papayawalk.daemon.managed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Server with a single thread that can be made to stand still: its kernel goes on accepting
 * connections and bytes, and all of them are read when it goes on. Thread-safe.
 */
public final class FreezingUpstream implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 65_536;

    private final NioEventLoopGroup loop = new NioEventLoopGroup(1);

    private final Channel listener;

    private final int beginMillis;

    private final int gapMillis;

    // Ids of requests in order of reading.
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    // Ids of requests of which at least the head of the answer was written.
    private final Set<String> begun = ConcurrentHashMap.newKeySet();

    // Ids of requests whose connection was closed before the end of the answer.
    private final Set<String> cut = ConcurrentHashMap.newKeySet();

    private final CountDownLatch thawed = new CountDownLatch(1);

    // Requests at work. Confined to the loop's thread.
    private int running;

    /**
     * Request that was read. Immutable.
     *
     * @param id id of the request
     * @param nanos when it was read, by {@link System#nanoTime()}
     */
    public record Arrival(String id, long nanos) {}

    /**
     * Starts a server on a free port.
     *
     * @param beginMillis time until an answer begins
     * @param gapMillis time between two events of a stream
     */
    public FreezingUpstream(int beginMillis, int gapMillis) {
        this.beginMillis = beginMillis;
        this.gapMillis = gapMillis;
        listener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpRequestDecoder(),
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                                        new Handler());
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Returns the address of the server.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stands still from now on; may be called once. */
    public void freeze() {
        CountDownLatch frozen = new CountDownLatch(1);
        loop.execute(
                () -> {
                    frozen.countDown();
                    awaitLatch(thawed);
                });
        awaitLatch(frozen);
    }

    /** Goes on. */
    public void thaw() {
        thawed.countDown();
    }

    /**
     * Returns the requests that were read.
     *
     * @return copy in order of reading
     */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /**
     * Returns the requests whose answers have begun.
     *
     * @return copy of the ids
     */
    public Set<String> begun() {
        return Set.copyOf(begun);
    }

    /**
     * Returns the requests whose connections were closed before their answers had ended.
     *
     * @return copy of the ids
     */
    public Set<String> cut() {
        return Set.copyOf(cut);
    }

    @Override
    public void close() {
        thawed.countDown();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection. Confined to the loop's thread. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        // Id of the request at work; null if there is none.
        private String id;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String read = request.headers().get("X-Request-Id");
            int after = request.headers().getInt("Last-Event-Id", 0);
            boolean stream = request.uri().startsWith("/advice/");
            id = read;
            running++;
            arrivals.add(new Arrival(read, System.nanoTime()));
            later(context, beginMillis, () -> begin(context, stream, after));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (id != null) {
                cut.add(id);
                ended();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void begin(ChannelHandlerContext context, boolean stream, int after) {
            String stamp =
                    "X-Request-Id: %s\r\nX-Server-Stamp: code\r\nX-Server-Load: %d,0,24\r\n"
                            .formatted(id, running);
            begun.add(id);
            if (stream) {
                write(context, ResponseText.stream(stamp, after, after + 1));
                next(context, after + 1);
            } else {
                write(context, ResponseText.response(200, stamp, "answer to " + id));
                ended();
            }
        }

        private void next(ChannelHandlerContext context, int sent) {
            if (sent >= FakeUpstream.EVENTS) {
                write(context, "0\r\n\r\n");
                ended();
                return;
            }
            later(
                    context,
                    gapMillis,
                    () -> {
                        String text = ResponseText.stream("", sent, sent + 1);
                        write(context, text.substring(text.indexOf("\r\n\r\n") + 4));
                        next(context, sent + 1);
                    });
        }

        // Does nothing if the connection was closed meanwhile.
        private void later(ChannelHandlerContext context, int millis, Runnable step) {
            context.executor()
                    .schedule(
                            () -> {
                                if (id != null) {
                                    step.run();
                                }
                            },
                            millis,
                            TimeUnit.MILLISECONDS);
        }

        private void ended() {
            id = null;
            running--;
        }

        private void write(ChannelHandlerContext context, String text) {
            context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }
    }
}
