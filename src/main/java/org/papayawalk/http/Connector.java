package org.papayawalk.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.papayawalk.core.Addresses;

/** Opens TCP connections. Stateless; thread-safe. */
public final class Connector {

    private Connector() {}

    /**
     * Opens a connection without blocking. A malformed address is a failure like any other.
     *
     * @param group event loops
     * @param address IP address and port of the server
     * @param timeoutMillis connect timeout in milliseconds
     * @param onConnected called with the open channel, on its event loop
     * @param onFailure called with the cause if the connection could not be opened, on the event
     *     loop
     * @param handlers channel handlers, in the order of the pipeline
     */
    public static void connect(
            EventLoopGroup group,
            String address,
            int timeoutMillis,
            Consumer<Channel> onConnected,
            Consumer<Throwable> onFailure,
            ChannelHandler... handlers) {
        InetSocketAddress peer;
        try {
            peer = Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            group.next().execute(() -> onFailure.accept(e));
            return;
        }
        SocketOptions.apply(new Bootstrap(), timeoutMillis)
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(handlers);
                            }
                        })
                .connect(peer)
                .addListener(
                        (ChannelFutureListener)
                                f -> {
                                    if (f.isSuccess()) {
                                        onConnected.accept(f.channel());
                                    } else {
                                        onFailure.accept(f.cause());
                                    }
                                });
    }
}
