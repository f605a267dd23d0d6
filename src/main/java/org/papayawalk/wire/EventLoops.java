package org.papayawalk.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/** Event loops shared by all servers and clients of one process. Thread-safe. */
public final class EventLoops implements AutoCloseable {
    /** Maximum wait for the event loops to end. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2000;

    private final EventLoopGroup group;

    /**
     * Starts the event loops.
     *
     * @param threads number of event loop threads, at least 1
     */
    public EventLoops(int threads) {
        group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /**
     * Returns the Netty group of the event loops.
     *
     * @return event loop group, shut down by {@link #close()}
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
