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

/** HTTP server with one thread per connection and one handler for all paths. Thread-safe. */
public final class BlockingHttpServer implements AutoCloseable {
    /** Time after which an idle connection is closed. */
    private static final Timeout IDLE_TIMEOUT = Timeout.ofMinutes(2);

    /** Maximum number of connections that wait to be accepted. */
    private static final int BACKLOG = 1024;

    private final HttpServer server;

    /**
     * Starts a server.
     *
     * @param address IP address and port to listen on, port 0 for any free one
     * @param handler handles the requests to all paths
     * @throws IOException if the address cannot be bound
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
                        .setConnectionFactory(CheckedServerConnection::of)
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
     * Returns the port on which the server listens.
     *
     * @return port, the actual one if port 0 was requested
     */
    public int port() {
        return server.getLocalPort();
    }

    /**
     * Stops accepting connections and waits for requests in progress.
     *
     * @param timeout maximum wait
     */
    public void drain(Duration timeout) {
        server.initiateShutdown();
        server.close(CloseMode.GRACEFUL, Timeout.of(timeout));
        try {
            server.awaitTermination(TimeValue.of(timeout));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }

    /** Logs failures, except I/O errors, which are expected when clients disconnect. Stateless. */
    private static final class Listener implements ExceptionListener {
        @Override
        public void onError(Exception failure) {
            if (!(failure instanceof IOException)) {
                Event.named("http-server-failed").error(failure);
            }
        }

        @Override
        public void onError(HttpConnection connection, Exception failure) {
            boolean expected =
                    failure instanceof ConnectionClosedException || failure instanceof IOException;
            if (!expected) {
                Event.named("http-request-failed")
                        .with("peer", connection.getRemoteAddress())
                        .error(failure);
            }
        }
    }
}
