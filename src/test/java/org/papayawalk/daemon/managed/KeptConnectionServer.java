package org.papayawalk.daemon.managed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.support.Threads;

/**
 * Fake server that keeps its connections and answers each request with the bytes that a function
 * names. Thread-safe.
 */
public final class KeptConnectionServer implements AutoCloseable {
    /** Names the bytes that answer a request. */
    @FunctionalInterface
    public interface Answers {
        /**
         * Returns what the server writes.
         *
         * @param id id of the request, empty if it has none
         * @param earlier ids of the earlier requests on the connection
         * @return bytes, one character each
         */
        String answer(String id, List<String> earlier);
    }

    private final ServerSocket listener;

    private final AtomicInteger connections = new AtomicInteger();

    private volatile Answers answers = (id, earlier) -> response(200, idLine(id), "answer");

    /**
     * Starts a server on a free port.
     *
     * @throws IOException if no port is free
     */
    public KeptConnectionServer() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Threads.start("kept-connection-server", this::accept);
    }

    /**
     * Formats a stamped response with a length.
     *
     * @param status status code
     * @param headers lines of further headers
     * @param body body
     * @return text of the response
     */
    public static String response(int status, String headers, String body) {
        return ResponseText.response(status, headers + "X-Server-Stamp: code\r\n", body);
    }

    /**
     * Formats the header that names the request of a response.
     *
     * @param id id of the request
     * @return line of the header
     */
    public static String idLine(String id) {
        return "X-Request-Id: " + id + "\r\n";
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
     * Changes the answers.
     *
     * @param newAnswers answers from the next request on
     */
    public void answers(Answers newAnswers) {
        answers = newAnswers;
    }

    /**
     * Returns how many connections were opened.
     *
     * @return number since the start
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
                connections.incrementAndGet();
                Threads.start("kept-connection-server", () -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            List<String> earlier = new ArrayList<>();
            for (FakeUpstream.Seen request = RequestReader.read(in);
                    request != null;
                    request = RequestReader.read(in)) {
                String id = request.headers().getOrDefault("x-request-id", "");
                String answer = answers.answer(id, List.copyOf(earlier));
                earlier.add(id);
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The other side closed the connection.
        }
    }
}
