package org.papayawalk.daemon.managed.entry;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;

/**
 * Holds an event loop while it reads a connection, as a pause of the process would: what other
 * connections receive until then is unread when the timers run that became due. Thread-safe.
 */
final class HeldRead implements AutoCloseable {
    private final CountDownLatch reached = new CountDownLatch(1);

    private final CountDownLatch closed = new CountDownLatch(1);

    /**
     * Holds the event loop of a group; returns once it is held.
     *
     * @param group group of one event loop
     * @throws IOException if a port cannot be bound
     */
    HeldRead(EventLoopGroup group) throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(new Reader())
                    .connect(listener.getLocalSocketAddress())
                    .syncUninterruptibly();
            try (Socket socket = listener.accept()) {
                socket.getOutputStream().write(0);
                await(reached);
            }
        }
    }

    /** Ends the hold. */
    @Override
    public void close() {
        closed.countDown();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class Reader extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            reached.countDown();
            await(closed);
            context.close();
        }
    }
}
