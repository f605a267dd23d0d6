package org.papayawalk.support;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Server that keeps its connections, and answers each request with bytes that depend on the request
 * and on what its connection carried before. Thread-safe.
 */
public final class KeptConnectionServer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    private static final String LENGTH_HEADER = "content-length: ";

    /** Decides what is sent in answer to a request. Called on the thread of the connection. */
    @FunctionalInterface
    public interface Answers {
        /**
         * Returns the bytes of an answer, with what stands before or behind it.
         *
         * @param target path and query of the request
         * @param earlier number of requests that came on the connection before
         * @return text to send in one write
         */
        String to(String target, int earlier);
    }

    private final ServerSocket listener;

    private final Answers answers;

    private final AtomicInteger connections = new AtomicInteger();

    /**
     * Starts a server on a free port.
     *
     * @param answers what it answers
     * @throws IOException if no port is free
     */
    public KeptConnectionServer(Answers answers) throws IOException {
        this.answers = answers;
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Threads.start("kept-connection-server", this::accept);
    }

    /**
     * Formats an answer.
     *
     * @param status status code
     * @param body body
     * @return head and body
     */
    public static String answer(int status, String body) {
        return "HTTP/1.1 %d Some reason\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(status, body.length(), body);
    }

    /**
     * Formats an answer whose body is one chunk.
     *
     * @param status status code
     * @param body body
     * @return head and body
     */
    public static String chunkedAnswer(int status, String body) {
        return "HTTP/1.1 %d Some reason\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
                .formatted(status, body.length(), body);
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
     * Returns the number of connections that were opened.
     *
     * @return connections so far
     */
    public int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.incrementAndGet();
                Threads.start("kept-connection-server", () -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int earlier = 0;
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                in.readNBytes(bodyLength(head));
                String sent = answers.to(head.split(" ")[1], earlier++);
                socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The other side closed the connection.
        }
    }

    // Returns an empty text at the end of the connection.
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static int bodyLength(String head) {
        String lower = head.toLowerCase(Locale.ROOT);
        int at = lower.indexOf(LENGTH_HEADER);
        if (at < 0) {
            return 0;
        }
        int from = at + LENGTH_HEADER.length();
        return Integer.parseInt(lower.substring(from, lower.indexOf('\r', from)));
    }
}
