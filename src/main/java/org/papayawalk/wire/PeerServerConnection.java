package org.papayawalk.wire;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.wire.proto.Envelope;

/** Server's side of a connection. Thread-safe; equal by connection. */
public final class PeerServerConnection {
    /** Connection. */
    private final Channel channel;

    /** Counter of bytes of control messages, shared by the server. */
    private final AtomicLong controlBytesSent;

    /** Guards waits for room in the send buffer. */
    private final Object writabilityLock = new Object();

    /**
     * Wraps a connection.
     *
     * @param channel connection
     * @param controlBytes counter to add sent bytes of control to
     */
    PeerServerConnection(Channel channel, AtomicLong controlBytes) {
        this.channel = channel;
        this.controlBytesSent = controlBytes;
    }

    /**
     * Sends a message without waiting.
     *
     * @param message message to send
     */
    public void send(Envelope message) {
        if (MessageClassifier.isControl(message)) {
            controlBytesSent.addAndGet(message.getSerializedSize());
        }
        channel.writeAndFlush(message, channel.voidPromise());
    }

    /**
     * Waits until the send buffer has room, so that a slow reader slows its sender.
     *
     * @param limitMillis longest wait in milliseconds
     * @return false if the connection was closed or the time ran out
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitWritable(long limitMillis) throws InterruptedException {
        if (channel.isWritable()) {
            return channel.isActive();
        }
        long until = System.nanoTime() + limitMillis * 1_000_000;
        synchronized (writabilityLock) {
            while (!channel.isWritable() && channel.isActive()) {
                long leftMillis = (until - System.nanoTime()) / 1_000_000;
                if (leftMillis <= 0) {
                    return false;
                }
                writabilityLock.wait(leftMillis);
            }
        }
        return channel.isActive();
    }

    /**
     * Tells whether the connection is open.
     *
     * @return true if it is
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Returns the address of the other side.
     *
     * @return IP number and port
     */
    public String remoteAddress() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Wakes threads that wait for room. */
    void writabilityChanged() {
        synchronized (writabilityLock) {
            writabilityLock.notifyAll();
        }
    }
}
