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

/** Server that accepts connections from other papayawalk processes. Thread-safe. */
public final class PeerServer implements AutoCloseable {
    /** Channel of the listening socket. */
    private final Channel listener;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    private final AtomicLong controlBytesSent = new AtomicLong();

    /**
     * Starts listening.
     *
     * @param eventLoops event loops of the connections
     * @param address IP address and port to listen on, port 0 for any free one
     * @param handler receives the messages of all connections
     * @throws IOException if the address cannot be bound
     */
    public PeerServer(EventLoops eventLoops, InetSocketAddress address, MessageHandler handler)
            throws IOException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(eventLoops.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        connections.add(channel);
                                        PeerServerConnection connection =
                                                new PeerServerConnection(channel, controlBytesSent);
                                        WirePipeline.addHandlers(
                                                channel.pipeline(),
                                                new ServerHandler(connection, handler));
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        listener = bound.channel();
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return IP address and port, the actual one if port 0 was requested
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Returns the bytes of control messages sent on accepted connections.
     *
     * @return bytes since the start of the server
     */
    public long controlBytesSent() {
        return controlBytesSent.get();
    }

    /** Closes the listening socket; open connections are kept. */
    public void stopAccepting() {
        listener.close().awaitUninterruptibly();
    }

    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
    }

    /** Passes the messages of one connection to the handler. Called on its event loop only. */
    private static final class ServerHandler extends SimpleChannelInboundHandler<Envelope> {
        private final PeerServerConnection connection;

        private final MessageHandler handler;

        /**
         * Creates a handler.
         *
         * @param connection accepted connection
         * @param handler receives the messages
         */
        ServerHandler(PeerServerConnection connection, MessageHandler handler) {
            this.connection = connection;
            this.handler = handler;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connection.writabilityChanged();
            handler.onClose(connection);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            connection.writabilityChanged();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Event.named("peer-message-failed")
                        .with("peer", connection.remoteAddress())
                        .error(cause);
            }
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            handler.onMessage(message, connection);
        }
    }
}
