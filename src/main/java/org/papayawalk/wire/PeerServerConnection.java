package org.papayawalk.wire;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.wire.proto.Envelope;

/** Accepted connection, as used by the server. Thread-safe; compared by identity. */
public final class PeerServerConnection {
    private final Channel channel;

    /** Bytes of control messages sent, counted over all connections of the server. */
    private final AtomicLong controlBytesSent;

    /** Monitor on which threads wait until the send buffer is writable. */
    private final Object writabilityLock = new Object();

    /**
     * Wraps a channel.
     *
     * @param channel channel of the connection
     * @param controlBytesSent counter for the bytes of control messages sent
     */
    PeerServerConnection(Channel channel, AtomicLong controlBytesSent) {
        this.channel = channel;
        this.controlBytesSent = controlBytesSent;
    }

    /**
     * Sends a message without blocking.
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
     * Blocks until the send buffer is writable, so that a slow receiver slows its sender down. Must
     * not be called on an event loop.
     *
     * @param timeoutMillis maximum wait in milliseconds
     * @return false if the connection was closed or the wait timed out
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitWritable(long timeoutMillis) throws InterruptedException {
        if (channel.isWritable()) {
            return channel.isActive();
        }
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        synchronized (writabilityLock) {
            while (!channel.isWritable() && channel.isActive()) {
                long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
                if (remainingMillis <= 0) {
                    return false;
                }
                writabilityLock.wait(remainingMillis);
            }
        }
        return channel.isActive();
    }

    /**
     * Tells whether the connection is open.
     *
     * @return true if it is open
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Returns the address of the peer, for log entries.
     *
     * @return IP address and port, in the text form of the socket address
     */
    public String remoteAddress() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Wakes the threads in {@link #awaitWritable}; called when writability changes or on close. */
    void writabilityChanged() {
        synchronized (writabilityLock) {
            writabilityLock.notifyAll();
        }
    }
}
