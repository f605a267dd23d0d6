package org.papayawalk.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options of every TCP connection. Keep-alive probes close a connection whose remote side no
 * longer responds. Stateless; thread-safe.
 */
public final class SocketOptions {
    /** Idle time before the first keep-alive probe. */
    private static final int KEEPALIVE_IDLE_SECONDS = 2;

    private static final int KEEPALIVE_INTERVAL_SECONDS = 1;

    /** Number of unanswered probes after which the connection is closed. */
    private static final int KEEPALIVE_PROBES = 3;

    private SocketOptions() {}

    /**
     * Sets the options of outgoing connections.
     *
     * @param bootstrap bootstrap to change
     * @param connectTimeoutMillis connect timeout in milliseconds
     * @return the same bootstrap
     */
    public static Bootstrap apply(Bootstrap bootstrap, int connectTimeoutMillis) {
        return bootstrap
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        KEEPALIVE_IDLE_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        KEEPALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    }

    /**
     * Sets the options of accepted connections.
     *
     * @param bootstrap bootstrap to change
     * @return the same bootstrap
     */
    public static ServerBootstrap apply(ServerBootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        KEEPALIVE_IDLE_SECONDS)
                .childOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        KEEPALIVE_INTERVAL_SECONDS)
                .childOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
    }
}
