package org.papayawalk.daemon.managed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.papayawalk.http.SocketOptions;
import org.papayawalk.log.Event;

/** Answers whether the daemon is ready, and serves its metrics. Thread-safe. */
public final class StatusEndpoint {
    /** Port of the metrics. */
    public static final int METRICS_PORT = 9464;

    /** Path of the metrics. */
    private static final String METRICS_PATH = "/metrics";

    /** Longest request in bytes. */
    private static final int MAX_REQUEST_BYTES = 8192;

    /** Event loops. */
    private final EventLoopGroup group;

    /** Whether the daemon takes requests. */
    private final BooleanSupplier ready;

    /** Registry of the metrics. */
    private final PrometheusRegistry registry;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param group event loops
     * @param ready whether the daemon takes requests
     * @param registry registry of the metrics
     */
    public StatusEndpoint(
            EventLoopGroup group, BooleanSupplier ready, PrometheusRegistry registry) {
        this.group = group;
        this.ready = ready;
        this.registry = registry;
    }

    /**
     * Starts to listen.
     *
     * @param address IP number and port
     * @throws IOException if the address cannot be used
     */
    public void listen(InetSocketAddress address) throws IOException {
        ChannelFuture bound =
                SocketOptions.apply(new ServerBootstrap())
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(new Handler());
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
    }

    /**
     * Starts to listen on the port of the metrics. A daemon without metrics still serves, so a
     * failure is only logged.
     *
     * @param ip IP number
     */
    public void listenForMetrics(String ip) {
        try {
            listen(new InetSocketAddress(ip, METRICS_PORT));
        } catch (IOException e) {
            Event.named("metrics-not-served").with("reason", e.getMessage()).warn();
        }
    }

    /** Answers the requests of one connection. Confined to its event loop. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request)
                throws IOException {
            boolean metrics = request.uri().startsWith(METRICS_PATH);
            ByteBuf body = metrics ? Unpooled.wrappedBuffer(text()) : Unpooled.EMPTY_BUFFER;
            HttpResponseStatus status =
                    metrics || ready.getAsBoolean()
                            ? HttpResponseStatus.OK
                            : HttpResponseStatus.SERVICE_UNAVAILABLE;
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4");
            boolean keep = HttpUtil.isKeepAlive(request);
            context.writeAndFlush(response);
            if (!keep) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        /**
         * Writes the metrics.
         *
         * @return text
         * @throws IOException never, as nothing is written outside memory
         */
        private byte[] text() throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
            return out.toByteArray();
        }
    }
}
