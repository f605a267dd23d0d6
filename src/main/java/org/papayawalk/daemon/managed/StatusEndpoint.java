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

/**
 * HTTP endpoint of a daemon. The path {@code /metrics} returns the metrics as Prometheus text;
 * every other path returns 200 if the daemon is ready and 503 if it is not. Thread-safe.
 */
public final class StatusEndpoint {
    /** TCP port of the metrics, the same on every host. */
    public static final int METRICS_PORT = 9464;

    private static final String METRICS_PATH = "/metrics";

    private static final int MAX_REQUEST_BYTES = 8192;

    private final EventLoopGroup group;

    private final BooleanSupplier ready;

    private final PrometheusRegistry registry;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param group event loops
     * @param ready returns whether the daemon accepts requests; called on an event loop thread
     * @param registry registry of the metrics
     */
    public StatusEndpoint(
            EventLoopGroup group, BooleanSupplier ready, PrometheusRegistry registry) {
        this.group = group;
        this.ready = ready;
        this.registry = registry;
    }

    /**
     * Starts to listen. Blocks until the address is bound.
     *
     * @param address IP address and port
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
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
    }

    /**
     * Starts to listen on {@link #METRICS_PORT}. A failure is only logged, as the daemon can serve
     * without metrics.
     *
     * @param ip IP address of the host
     */
    public void listenForMetrics(String ip) {
        try {
            listen(new InetSocketAddress(ip, METRICS_PORT));
        } catch (IOException e) {
            Event.named("metrics-not-served").with("reason", e.getMessage()).warn();
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request)
                throws IOException {
            boolean metrics = request.uri().startsWith(METRICS_PATH);
            ByteBuf body = metrics ? Unpooled.wrappedBuffer(metricsText()) : Unpooled.EMPTY_BUFFER;
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

        // Never throws in practice, as it writes to memory only.
        private byte[] metricsText() throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
            return out.toByteArray();
        }
    }
}
