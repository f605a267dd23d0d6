package org.papayawalk.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.wire.proto.Envelope;

/**
 * Client for calls to other papayawalk processes. Keeps one connection for each address and traffic
 * class and reopens it when necessary. Thread-safe.
 */
public final class PeerClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final EventLoops eventLoops;

    /** Connections that are open or being opened. */
    private final Map<ConnectionKey, CompletableFuture<PeerClientConnection>> connections =
            new ConcurrentHashMap<>();

    private final AtomicLong controlBytesSent = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param eventLoops event loops of the connections
     */
    public PeerClient(EventLoops eventLoops) {
        this.eventLoops = eventLoops;
    }

    /**
     * Sends a call that has one reply.
     *
     * @param address IP address and port of the peer
     * @param trafficClass class of traffic
     * @param message message without its call number
     * @param timeout maximum time until the reply, connecting included
     * @return reply or fault; never completes exceptionally
     */
    public CompletableFuture<Either<Fault, Envelope>> request(
            String address, TrafficClass trafficClass, Envelope.Builder message, Duration timeout) {
        CompletableFuture<Either<Fault, Envelope>> result = new CompletableFuture<>();
        ReplyListener listener =
                new ReplyListener() {
                    @Override
                    public void onReply(Envelope reply) {
                        result.complete(Either.right(reply));
                    }

                    @Override
                    public void onFailure(Fault fault) {
                        result.complete(Either.left(fault));
                    }
                };
        CompletableFuture<PeerCall> call = openCall(address, trafficClass, message, listener);
        return result.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(e -> Either.left(timeoutFault(address, timeout, e)))
                .whenComplete((r, e) -> call.thenAccept(PeerCall::removeListener));
    }

    /**
     * Sends a call that may have several replies.
     *
     * @param address IP address and port of the peer
     * @param trafficClass class of traffic
     * @param message message without its call number
     * @param listener receives the replies, or the fault if the call cannot be sent
     * @return call, completed once it was sent or has failed; never completes exceptionally
     */
    public CompletableFuture<PeerCall> openCall(
            String address,
            TrafficClass trafficClass,
            Envelope.Builder message,
            ReplyListener listener) {
        return connection(new ConnectionKey(address, trafficClass))
                .handle(
                        (connection, failure) -> {
                            if (failure != null) {
                                Throwable cause =
                                        failure.getCause() == null ? failure : failure.getCause();
                                listener.onFailure(
                                        Fault.of(FaultKind.UNREACHABLE, "connect", address, cause));
                                return new PeerCall(null, 0);
                            }
                            return new PeerCall(connection, connection.call(message, listener));
                        });
    }

    /**
     * Sends a message that has no reply. The message is lost if the peer is unreachable.
     *
     * @param address IP address and port of the peer
     * @param trafficClass class of traffic
     * @param message message
     */
    public void sendOneWay(String address, TrafficClass trafficClass, Envelope message) {
        connection(new ConnectionKey(address, trafficClass)).thenAccept(c -> c.send(message));
    }

    /**
     * Closes the connection to a peer that no longer responds. The next call opens a new one.
     *
     * @param address IP address and port of the peer
     * @param trafficClass class of traffic
     */
    public void closeConnection(String address, TrafficClass trafficClass) {
        CompletableFuture<PeerClientConnection> cached =
                connections.remove(new ConnectionKey(address, trafficClass));
        if (cached != null) {
            cached.thenAccept(PeerClientConnection::close);
        }
    }

    /**
     * Returns the bytes of control messages sent.
     *
     * @return bytes since the client was created
     */
    public long controlBytesSent() {
        return controlBytesSent.get();
    }

    @Override
    public void close() {
        connections.values().forEach(f -> f.thenAccept(PeerClientConnection::close));
        connections.clear();
    }

    // Returns the connection in use, or opens one if there is none or it is unusable.
    private CompletableFuture<PeerClientConnection> connection(ConnectionKey key) {
        CompletableFuture<PeerClientConnection> cached = connections.get(key);
        if (cached != null && !isUnusable(cached)) {
            return cached;
        }
        return connections.compute(key, (k, f) -> f != null && !isUnusable(f) ? f : connect(k));
    }

    private static boolean isUnusable(CompletableFuture<PeerClientConnection> future) {
        return future.isCompletedExceptionally() || (future.isDone() && future.join().isClosed());
    }

    private CompletableFuture<PeerClientConnection> connect(ConnectionKey key) {
        PeerClientConnection connection = new PeerClientConnection(key.address(), controlBytesSent);
        CompletableFuture<PeerClientConnection> future = new CompletableFuture<>();
        InetSocketAddress peer;
        try {
            peer = Addresses.parse(key.address());
        } catch (IllegalArgumentException e) {
            future.completeExceptionally(e);
            return future;
        }
        new Bootstrap()
                .group(eventLoops.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                int idle = key.trafficClass().idleTimeoutSeconds();
                                channel.pipeline().addLast(new IdleStateHandler(0, 0, idle));
                                WirePipeline.addHandlers(channel.pipeline(), connection);
                            }
                        })
                .connect(peer)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                future.complete(connection);
                            } else {
                                future.completeExceptionally(done.cause());
                            }
                        });
        return future;
    }

    private static Fault timeoutFault(String address, Duration timeout, Throwable failure) {
        Throwable cause = failure instanceof TimeoutException ? failure : failure.getCause();
        String reason =
                cause instanceof TimeoutException
                        ? "no reply within " + timeout.toMillis() + " ms"
                        : "" + cause;
        return new Fault(FaultKind.UNKNOWN_OUTCOME, "peer-call", address, reason);
    }

    private record ConnectionKey(String address, TrafficClass trafficClass) {}
}
