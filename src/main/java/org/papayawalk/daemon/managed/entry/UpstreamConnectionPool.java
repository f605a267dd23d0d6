package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
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
     * @param id id of the request
     * @param opened receives the connection
     * @param failed receives the reason if no connection can be opened
     */
    void acquire(
            boolean fresh,
            String id,
            Consumer<UpstreamConnection> opened,
            Consumer<String> failed) {
        UpstreamConnection pooled = fresh ? null : pollIdle(id);
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

    // Returns null if no idle connection is usable for the request; closes those that are too old.
    private UpstreamConnection pollIdle(String id) {
        Instant now = clock.instant();
        idle.removeIf(c -> isUnusable(c, now));
        Iterator<UpstreamConnection> newestFirst = idle.descendingIterator();
        while (newestFirst.hasNext()) {
            UpstreamConnection c = newestFirst.next();
            if (c.admits(id)) {
                newestFirst.remove();
                return c;
            }
        }
        return null;
    }

    private static boolean isUnusable(UpstreamConnection connection, Instant now) {
        if (connection.isUsable(now)) {
            return false;
        }
        connection.abandon();
        return true;
    }

    private void release(UpstreamConnection connection) {
        idle.addLast(connection);
        if (idle.size() > MAX_IDLE_CONNECTIONS) {
            idle.removeFirst().abandon();
        }
    }
}
