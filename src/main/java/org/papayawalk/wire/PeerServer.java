package org.papayawalk.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.log.Event;
import org.papayawalk.wire.proto.Envelope;

/** Accepts connections of other processes. Thread-safe. */
public final class PeerServer implements AutoCloseable {
    /** Listening socket. */
    private final Channel listener;

    /** Open connections. */
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Bytes of control messages sent. */
    private final AtomicLong controlBytesSent = new AtomicLong();

    /**
     * Starts to listen.
     *
     * @param runtime event loops
     * @param address IP number and port to listen on
     * @param handler takes the messages
     * @throws IOException if the address cannot be used
     */
    public PeerServer(EventLoops runtime, InetSocketAddress address, MessageHandler handler)
            throws IOException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(runtime.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        connections.add(channel);
                                        PeerServerConnection peer =
                                                new PeerServerConnection(channel, controlBytesSent);
                                        WirePipeline.addHandlers(
                                                channel.pipeline(),
                                                new ServerHandler(peer, handler));
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        listener = bound.channel();
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return IP number and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Returns the bytes of control messages sent on accepted connections.
     *
     * @return bytes since the start
     */
    public long controlBytesSent() {
        return controlBytesSent.get();
    }

    /** Accepts no further connections; open ones stay. */
    public void stopAccepting() {
        listener.close().awaitUninterruptibly();
    }

    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
    }

    /** Passes messages of one connection on. Called on its event loop only. */
    private static final class ServerHandler extends SimpleChannelInboundHandler<Envelope> {
        /** Connection. */
        private final PeerServerConnection peer;

        /** Takes the messages. */
        private final MessageHandler handler;

        /**
         * Creates a handler.
         *
         * @param peer connection
         * @param handler takes the messages
         */
        ServerHandler(PeerServerConnection peer, MessageHandler handler) {
            this.peer = peer;
            this.handler = handler;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            peer.writabilityChanged();
            handler.onClose(peer);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            peer.writabilityChanged();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Event.named("peer-message-failed").with("peer", peer.remoteAddress()).error(cause);
            }
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            handler.onMessage(message, peer);
        }
    }
}
