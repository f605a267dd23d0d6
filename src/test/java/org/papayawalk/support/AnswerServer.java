package org.papayawalk.support;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Server that answers each connection with the same bytes once a head was received, and ends its
 * direction of the connection then. Thread-safe.
 */
public final class AnswerServer implements AutoCloseable {
    private static final int HEAD_END = 0x0d0a0d0a;

    private final ServerSocket listener;

    private final AtomicInteger requests = new AtomicInteger();

    private volatile byte[] answer = {};

    private volatile boolean reset;

    /**
     * Starts a server on a free port.
     *
     * @throws IOException if no port is free
     */
    public AnswerServer() throws IOException {
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Threads.start("answer-server", this::accept);
    }

    /**
     * Returns the address of the server.
     *
     * @return IP address and port
     */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Returns the number of heads received.
     *
     * @return requests so far
     */
    public int requests() {
        return requests.get();
    }

    /**
     * Changes what connections are answered with.
     *
     * @param newAnswer bytes
     * @param resets whether the connection is reset behind them instead of ended
     */
    public void answer(byte[] newAnswer, boolean resets) {
        answer = newAnswer;
        reset = resets;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("answer-server", () -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int last = 0;
            while (last != HEAD_END) {
                int b = in.read();
                if (b < 0) {
                    return;
                }
                last = last << 8 | b;
            }
            requests.incrementAndGet();
            socket.getOutputStream().write(answer);
            if (reset) {
                socket.setSoLinger(true, 0);
                return;
            }
            socket.shutdownOutput();
            in.readAllBytes();
        } catch (IOException e) {
            // The other side closed the connection.
        }
    }
}
