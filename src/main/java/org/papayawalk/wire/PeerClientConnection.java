package org.papayawalk.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.wire.proto.Envelope;

/**
 * Outgoing connection, as used by the client. Replies go to the listener of their call. If the
 * connection is lost, each listener is notified exactly once, unless it was removed before.
 * Thread-safe.
 */
final class PeerClientConnection extends SimpleChannelInboundHandler<Envelope> {
    private final String address;

    /** Listeners by call number. */
    private final Map<Long, ReplyListener> listeners = new ConcurrentHashMap<>();

    private final AtomicLong lastCallNumber = new AtomicLong();

    /** Bytes of control messages sent, counted over all connections of the client. */
    private final AtomicLong controlBytesSent;

    /** Channel, null until the connection is set up. */
    private volatile Channel channel;

    private volatile boolean closed;

    /**
     * Creates a connection that is not open yet.
     *
     * @param address IP address and port of the peer
     * @param controlBytesSent counter for the bytes of control messages sent
     */
    PeerClientConnection(String address, AtomicLong controlBytesSent) {
        this.address = address;
        this.controlBytesSent = controlBytesSent;
    }

    /**
     * Sends a call. The listener may be notified of a failure before this method returns.
     *
     * @param message message, to which the call number is added
     * @param listener receives the replies
     * @return number of the call, unique on this connection
     */
    long call(Envelope.Builder message, ReplyListener listener) {
        long number = lastCallNumber.incrementAndGet();
        listeners.put(number, listener);
        Envelope envelope = message.setCall(number).build();
        if (closed) {
            failCall(number, FaultKind.UNREACHABLE, "call not sent: the connection is closed");
            return number;
        }
        countControlBytes(envelope);
        channel.writeAndFlush(envelope)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                failCall(
                                        number,
                                        FaultKind.UNKNOWN_OUTCOME,
                                        "sending the call failed");
                            }
                        });
        return number;
    }

    /**
     * Sends a message without a listener. Failures to send are ignored.
     *
     * @param message message with its call number set, or without one
     */
    void send(Envelope message) {
        countControlBytes(message);
        channel.writeAndFlush(message, channel.voidPromise());
    }

    /**
     * Removes the listener of a call; replies that follow are ignored.
     *
     * @param number number of the call
     */
    void removeListener(long number) {
        listeners.remove(number);
    }

    /**
     * Tells whether the connection was closed.
     *
     * @return true if it was
     */
    boolean isClosed() {
        return closed;
    }

    /** Closes the connection, if it is open. */
    void close() {
        Channel c = channel;
        if (c != null) {
            c.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed = true;
        for (Long number : listeners.keySet()) {
            failCall(number, FaultKind.UNKNOWN_OUTCOME, "connection lost before the reply");
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && listeners.isEmpty()) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        ReplyListener listener = listeners.get(message.getCall());
        if (listener != null) {
            listener.onReply(message);
        }
    }

    private void countControlBytes(Envelope message) {
        if (MessageClassifier.isControl(message)) {
            controlBytesSent.addAndGet(message.getSerializedSize());
        }
    }

    private void failCall(long number, FaultKind kind, String reason) {
        ReplyListener listener = listeners.remove(number);
        if (listener != null) {
            listener.onFailure(new Fault(kind, "peer-call", address, reason));
        }
    }
}
