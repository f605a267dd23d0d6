package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.papayawalk.http.Connector;

/** Pool of connections to one upstream process. Confined to the event loop thread. */
final class UpstreamConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 600;

    private static final int MAX_IDLE_CONNECTIONS = 24;

    private final EventLoop loop;

    private final String address;

    private final InstantSource clock;

    /** Idle connections, the most recently used last. */
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

    /**
     * Creates an empty pool.
     *
     * @param loop event loop thread
     * @param address IP address and port of the upstream
     * @param clock monotonic clock
     */
    UpstreamConnectionPool(EventLoop loop, String address, InstantSource clock) {
        this.loop = loop;
        this.address = address;
        this.clock = clock;
    }

    /**
     * Provides a connection, pooled or new.
     *
     * @param fresh whether the connection must be new; required for a request that must not be
     *     retried, because the upstream may close a pooled connection just as the request is sent
     * @param opened receives the connection
     * @param failed receives the reason if no connection can be opened
     */
    void acquire(boolean fresh, Consumer<UpstreamConnection> opened, Consumer<String> failed) {
        UpstreamConnection pooled = fresh ? null : pollIdle();
        if (pooled != null) {
            opened.accept(pooled);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(clock, this::release);
        Connector.connect(
                loop,
                address,
                CONNECT_TIMEOUT_MILLIS,
                channel -> opened.accept(connection),
                cause -> failed.accept(String.valueOf(cause.getMessage())),
                new HttpRequestEncoder(),
                connection.decoder(),
                connection);
    }

    /** Closes the idle connections. */
    void close() {
        idle.forEach(UpstreamConnection::abandon);
        idle.clear();
    }

    // Returns null if no idle connection is usable.
    private UpstreamConnection pollIdle() {
        Instant now = clock.instant();
        while (!idle.isEmpty()) {
            UpstreamConnection c = idle.removeLast();
            if (c.isUsable(now)) {
                return c;
            }
            c.abandon();
        }
        return null;
    }

    private void release(UpstreamConnection connection) {
        idle.addLast(connection);
        if (idle.size() > MAX_IDLE_CONNECTIONS) {
            idle.removeFirst().abandon();
        }
    }
}
