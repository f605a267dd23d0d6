package org.papayawalk.daemon.managed.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import org.papayawalk.http.BufferBudget;

/**
 * Part of the responses on one connection that its caller has not taken yet. Complete responses
 * count in the memory of all responses until they are sent. Confined to the event loop thread.
 */
final class UnsentResponse {
    private final Channel channel;

    private final BufferBudget budget;

    /** Last write; null before the first one. */
    private ChannelFuture lastWrite;

    /** Bytes that waited at the last check, and those sent of the first message among them. */
    private long waitingBytes;

    private long sentBytes;

    /**
     * Creates the record of a connection without responses.
     *
     * @param channel connection
     * @param budget memory of all responses
     */
    UnsentResponse(Channel channel, BufferBudget budget) {
        this.channel = channel;
        this.budget = budget;
    }

    /**
     * Records the last write of a response.
     *
     * @param write write
     * @param bytes memory that it holds, 0 if it is small
     */
    void written(ChannelFuture write, int bytes) {
        lastWrite = write;
        if (!write.isDone() && bytes > 0) {
            budget.hold(bytes);
            write.addListener(f -> budget.unhold(bytes));
        }
    }

    /**
     * Returns whether all responses are with the kernel.
     *
     * @return false while part of one waits for its caller to read
     */
    boolean isEmpty() {
        return lastWrite == null || lastWrite.isDone();
    }

    /**
     * Returns whether the caller has read since the last call of this method.
     *
     * @return false if it takes nothing
     */
    boolean hasAdvanced() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        if (buffer == null) {
            return false;
        }
        long waiting = buffer.totalPendingWriteBytes();
        long sent = buffer.currentProgress();
        boolean advanced = waiting != waitingBytes || sent != sentBytes;
        waitingBytes = waiting;
        sentBytes = sent;
        return advanced;
    }
}
