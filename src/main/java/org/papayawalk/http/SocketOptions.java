package org.papayawalk.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Options of every TCP connection. Keep-alive probes close a connection whose other side has fallen
 * silent. Holds no state; safe from any thread.
 */
public final class SocketOptions {
    /** Silence before the first keep-alive probe, in seconds. */
    private static final int KEEPALIVE_IDLE_SECONDS = 2;

    /** Time between probes, in seconds. */
    private static final int KEEPALIVE_INTERVAL_SECONDS = 1;

    /** Probes without an answer that end a connection. */
    private static final int KEEPALIVE_PROBES = 3;

    /** Prevents instances. */
    private SocketOptions() {}

    /**
     * Sets the options of outgoing connections.
     *
     * @param bootstrap bootstrap to change
     * @param connectMillis longest time to connect, in milliseconds
     * @return the bootstrap
     */
    public static Bootstrap apply(Bootstrap bootstrap, int connectMillis) {
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
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis);
    }

    /**
     * Sets the options of accepted connections.
     *
     * @param bootstrap bootstrap to change
     * @return the bootstrap
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
