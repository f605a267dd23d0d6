package org.papayawalk.adapter.standalone;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.papayawalk.log.Event;

/** HTTP server with one handler for all paths. Thread-safe. */
public final class BlockingHttpServer implements AutoCloseable {
    /** Time after which a silent connection is closed. */
    private static final Timeout IDLE_TIMEOUT = Timeout.ofMinutes(2);

    /** Connections that wait to be accepted. */
    private static final int BACKLOG = 1024;

    /** Server. */
    private final HttpServer server;

    /**
     * Starts a server.
     *
     * @param address IP number and port to listen on
     * @param handler takes every request
     * @throws IOException if the address cannot be used
     */
    public BlockingHttpServer(InetSocketAddress address, HttpRequestHandler handler)
            throws IOException {
        SocketConfig sockets =
                SocketConfig.custom()
                        .setSoTimeout(IDLE_TIMEOUT)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setBacklogSize(BACKLOG)
                        .build();
        server =
                ServerBootstrap.bootstrap()
                        .setLocalAddress(address.getAddress())
                        .setListenerPort(address.getPort())
                        .setSocketConfig(sockets)
                        .setRequestRouter((request, context) -> handler)
                        .setExceptionListener(new Listener())
                        .create();
        try {
            server.start();
        } catch (IOException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /**
     * Returns the port.
     *
     * @return port that the server listens on
     */
    public int port() {
        return server.getLocalPort();
    }

    /**
     * Takes no further connections and waits for requests in progress.
     *
     * @param limit longest wait
     */
    public void drain(Duration limit) {
        server.initiateShutdown();
        server.close(CloseMode.GRACEFUL, Timeout.of(limit));
        try {
            server.awaitTermination(TimeValue.of(limit));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }

    /** Logs failures that are not ordinary ends of connections. Holds no state. */
    private static final class Listener implements ExceptionListener {
        @Override
        public void onError(Exception failure) {
            if (!(failure instanceof IOException)) {
                Event.named("http-server-failed").error(failure);
            }
        }

        @Override
        public void onError(HttpConnection connection, Exception failure) {
            boolean ordinary =
                    failure instanceof ConnectionClosedException || failure instanceof IOException;
            if (!ordinary) {
                Event.named("http-request-failed")
                        .with("peer", connection.getRemoteAddress())
                        .error(failure);
            }
        }
    }
}
