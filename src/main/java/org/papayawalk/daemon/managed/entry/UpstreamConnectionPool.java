package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.papayawalk.http.Connector;

/** Connections to one upstream process. Confined to the traffic thread. */
final class UpstreamConnectionPool {
    /** Longest time to connect, in milliseconds. */
    private static final int CONNECT_LIMIT_MILLIS = 600;

    /** Idle connections kept at the most. */
    private static final int MAX_IDLE = 24;

    /** Traffic thread. */
    private final EventLoop loop;

    /** Address of the upstream. */
    private final String address;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Idle connections, the latest used last. */
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

    /**
     * Creates a pool without connections.
     *
     * @param loop traffic thread
     * @param address address of the upstream
     * @param clock clock that never jumps
     */
    UpstreamConnectionPool(EventLoop loop, String address, InstantSource clock) {
        this.loop = loop;
        this.address = address;
        this.clock = clock;
    }

    /**
     * Provides a connection.
     *
     * @param fresh whether only a new one will do, because a kept one may be closed by the other
     *     side just as a request is sent that must not be sent again
     * @param use takes the connection
     * @param failed takes the reason why there is none
     */
    void acquire(boolean fresh, Consumer<UpstreamConnection> use, Consumer<String> failed) {
        UpstreamConnection kept = fresh ? null : takeIdle();
        if (kept != null) {
            use.accept(kept);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(clock, this::keep);
        Connector.connect(
                loop,
                address,
                CONNECT_LIMIT_MILLIS,
                channel -> use.accept(connection),
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

    /**
     * Takes an idle connection.
     *
     * @return connection, or null if there is none
     */
    private UpstreamConnection takeIdle() {
        Instant now = clock.instant();
        while (!idle.isEmpty()) {
            UpstreamConnection c = idle.removeLast();
            if (c.usable(now)) {
                return c;
            }
            c.abandon();
        }
        return null;
    }

    /**
     * Keeps a connection for further requests.
     *
     * @param connection connection without a request
     */
    private void keep(UpstreamConnection connection) {
        idle.addLast(connection);
        if (idle.size() > MAX_IDLE) {
            idle.removeFirst().abandon();
        }
    }
}
