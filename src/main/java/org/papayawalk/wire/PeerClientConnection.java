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
 * Client's side of a connection. Replies go to the listener of their call. Every listener hears of
 * the loss of the connection exactly once unless its call was forgotten before. Thread-safe.
 */
final class PeerClientConnection extends SimpleChannelInboundHandler<Envelope> {
    /** Address of the peer. */
    private final String address;

    /** Listeners by call. */
    private final Map<Long, ReplyListener> listeners = new ConcurrentHashMap<>();

    /** Number of the last call. */
    private final AtomicLong lastCallNumber = new AtomicLong();

    /** Counter of bytes of control messages, shared by the client. */
    private final AtomicLong controlBytesSent;

    /** Connection, set once it is active. */
    private volatile Channel channel;

    /** Whether the connection was closed. */
    private volatile boolean closed;

    /**
     * Creates a connection.
     *
     * @param address address of the peer
     * @param controlBytes counter to add sent bytes of control to
     */
    PeerClientConnection(String address, AtomicLong controlBytes) {
        this.address = address;
        this.controlBytesSent = controlBytes;
    }

    /**
     * Sends a call.
     *
     * @param message message without its call number
     * @param listener takes the replies
     * @return number of the call
     */
    long call(Envelope.Builder message, ReplyListener listener) {
        long number = lastCallNumber.incrementAndGet();
        listeners.put(number, listener);
        Envelope envelope = message.setCall(number).build();
        if (closed) {
            failCall(number, FaultKind.UNREACHABLE, "the connection is closed");
            return number;
        }
        countControlBytes(envelope);
        channel.writeAndFlush(envelope)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                failCall(number, FaultKind.UNKNOWN_OUTCOME, "the send failed");
                            }
                        });
        return number;
    }

    /**
     * Sends a message that belongs to a call, or to none.
     *
     * @param message message with its call number set
     */
    void send(Envelope message) {
        countControlBytes(message);
        channel.writeAndFlush(message, channel.voidPromise());
    }

    /**
     * Drops the listener of a call.
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

    /** Closes the connection. */
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
            failCall(number, FaultKind.UNKNOWN_OUTCOME, "the connection was lost");
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

    /**
     * Counts a message that is sent.
     *
     * @param message message
     */
    private void countControlBytes(Envelope message) {
        if (MessageClassifier.isControl(message)) {
            controlBytesSent.addAndGet(message.getSerializedSize());
        }
    }

    /**
     * Tells a listener that its call is lost.
     *
     * @param number number of the call
     * @param kind whether the call may have been received
     * @param reason what happened
     */
    private void failCall(long number, FaultKind kind, String reason) {
        ReplyListener listener = listeners.remove(number);
        if (listener != null) {
            listener.onFailure(new Fault(kind, "peer-call", address, reason));
        }
    }
}
