package org.papayawalk.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.Consumer;
import org.papayawalk.core.Addresses;

/** Opens TCP connections. Holds no state; safe from any thread. */
public final class Connector {

    /** Prevents instances. */
    private Connector() {}

    /**
     * Opens a connection.
     *
     * @param group event loops
     * @param address IP number and port
     * @param limitMillis longest time to connect, in milliseconds
     * @param opened takes the connection, on its event loop
     * @param failed takes the reason why there is none, on the event loop
     * @param handlers handlers of the connection, in order
     */
    public static void connect(
            EventLoopGroup group,
            String address,
            int limitMillis,
            Consumer<Channel> opened,
            Consumer<Throwable> failed,
            ChannelHandler... handlers) {
        SocketOptions.apply(new Bootstrap(), limitMillis)
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(handlers);
                            }
                        })
                .connect(Addresses.parse(address))
                .addListener(
                        (ChannelFutureListener)
                                f -> {
                                    if (f.isSuccess()) {
                                        opened.accept(f.channel());
                                    } else {
                                        failed.accept(f.cause());
                                    }
                                });
    }
}
