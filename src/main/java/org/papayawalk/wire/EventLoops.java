package org.papayawalk.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/** Event loops that servers and clients of one process share. Thread-safe. */
public final class EventLoops implements AutoCloseable {
    /** Longest wait for the loops to end, in milliseconds. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2000;

    /** Event loops. */
    private final EventLoopGroup group;

    /**
     * Starts the loops.
     *
     * @param threads number of loops, at least 1
     */
    public EventLoops(int threads) {
        group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /**
     * Returns the loops.
     *
     * @return event loop group
     */
    public EventLoopGroup group() {
        return group;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
