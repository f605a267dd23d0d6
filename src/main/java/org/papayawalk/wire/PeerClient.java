package org.papayawalk.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.vavr.control.Either;
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

/** Calls other processes over cached connections, one for each address and lane. Thread-safe. */
public final class PeerClient implements AutoCloseable {
    /** Longest time to open a connection, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Event loops. */
    private final EventLoops runtime;

    /** Connections by address and lane. */
    private final Map<ConnectionKey, CompletableFuture<PeerClientConnection>> connections =
            new ConcurrentHashMap<>();

    /** Bytes of control messages sent. */
    private final AtomicLong controlBytesSent = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param runtime event loops
     */
    public PeerClient(EventLoops runtime) {
        this.runtime = runtime;
    }

    /**
     * Sends a call that has one reply.
     *
     * @param address address of the peer
     * @param lane kind of traffic
     * @param message message without its call number
     * @param limit longest time to wait
     * @return the reply or a fault; never completes exceptionally
     */
    public CompletableFuture<Either<Fault, Envelope>> request(
            String address, TrafficClass lane, Envelope.Builder message, Duration limit) {
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
        CompletableFuture<PeerCall> call = openCall(address, lane, message, listener);
        return result.orTimeout(limit.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(e -> Either.left(timeoutFault(address, e)))
                .whenComplete((r, e) -> call.thenAccept(PeerCall::removeListener));
    }

    /**
     * Sends a call that has several replies.
     *
     * @param address address of the peer
     * @param lane kind of traffic
     * @param message message without its call number
     * @param listener takes the replies
     * @return the call, once it was sent or could not be; never completes exceptionally
     */
    public CompletableFuture<PeerCall> openCall(
            String address, TrafficClass lane, Envelope.Builder message, ReplyListener listener) {
        return connection(new ConnectionKey(address, lane))
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
     * Sends a message that has no reply. It is dropped if the peer cannot be reached.
     *
     * @param address address of the peer
     * @param lane kind of traffic
     * @param message message
     */
    public void sendOneWay(String address, TrafficClass lane, Envelope message) {
        connection(new ConnectionKey(address, lane)).thenAccept(c -> c.send(message));
    }

    /**
     * Closes the connection to a peer that does not answer. The next call opens a new one.
     *
     * @param address address of the peer
     * @param lane kind of traffic
     */
    public void closeConnection(String address, TrafficClass lane) {
        CompletableFuture<PeerClientConnection> known =
                connections.remove(new ConnectionKey(address, lane));
        if (known != null) {
            known.thenAccept(PeerClientConnection::close);
        }
    }

    /**
     * Returns the bytes of control messages sent.
     *
     * @return bytes since the start
     */
    public long controlBytesSent() {
        return controlBytesSent.get();
    }

    @Override
    public void close() {
        connections.values().forEach(f -> f.thenAccept(PeerClientConnection::close));
        connections.clear();
    }

    /**
     * Returns a connection, opened if there is none.
     *
     * @param key address and lane
     * @return the connection once it is active
     */
    private CompletableFuture<PeerClientConnection> connection(ConnectionKey key) {
        CompletableFuture<PeerClientConnection> known = connections.get(key);
        if (known != null && !isUnusable(known)) {
            return known;
        }
        return connections.compute(key, (k, f) -> f != null && !isUnusable(f) ? f : connect(k));
    }

    /**
     * Tells whether a cached connection is of no further use.
     *
     * @param future cached connection
     * @return true if it failed or was closed
     */
    private static boolean isUnusable(CompletableFuture<PeerClientConnection> future) {
        return future.isCompletedExceptionally() || (future.isDone() && future.join().isClosed());
    }

    /**
     * Opens a connection.
     *
     * @param key address and lane
     * @return the connection once it is active
     */
    private CompletableFuture<PeerClientConnection> connect(ConnectionKey key) {
        PeerClientConnection connection = new PeerClientConnection(key.address(), controlBytesSent);
        CompletableFuture<PeerClientConnection> future = new CompletableFuture<>();
        new Bootstrap()
                .group(runtime.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                int idle = key.lane().idleTimeoutSeconds();
                                channel.pipeline().addLast(new IdleStateHandler(0, 0, idle));
                                WirePipeline.addHandlers(channel.pipeline(), connection);
                            }
                        })
                .connect(Addresses.parse(key.address()))
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

    /**
     * Makes the fault of a call without a timely reply.
     *
     * @param address address of the peer
     * @param failure failure of the wait
     * @return the fault
     */
    private static Fault timeoutFault(String address, Throwable failure) {
        Throwable cause = failure instanceof TimeoutException ? failure : failure.getCause();
        String reason = cause instanceof TimeoutException ? "no reply in time" : "" + cause;
        return new Fault(FaultKind.UNKNOWN_OUTCOME, "peer-call", address, reason);
    }

    /**
     * Key of a cached connection. Immutable.
     *
     * @param address address of the peer
     * @param lane kind of traffic
     */
    private record ConnectionKey(String address, TrafficClass lane) {}
}
