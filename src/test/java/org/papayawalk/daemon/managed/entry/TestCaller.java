package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that sends each request on a connection of its own. Confined to one thread. */
final class TestCaller {
    /** Longest silence of the entry, in milliseconds. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** Port of the entry. */
    private final int port;

    /** Requests sent so far. */
    private int requestCount;

    /**
     * Creates a caller.
     *
     * @param port port of the entry
     */
    TestCaller(int port) {
        this.port = port;
    }

    /**
     * Answer as the caller saw it. Immutable.
     *
     * @param head status line and headers
     * @param body body, taken out of its chunks
     * @param complete whether the answer came to its end
     */
    record Answer(String head, String body, boolean complete) {
        /**
         * Returns the status.
         *
         * @return status code
         */
        int status() {
            return Integer.parseInt(head.split(" ")[1]);
        }
    }

    /**
     * Returns the id of the last request.
     *
     * @return id
     */
    String lastId() {
        return "r" + requestCount;
    }

    /**
     * Opens a connection.
     *
     * @return connection
     * @throws IOException if the entry does not listen
     */
    Socket connect() throws IOException {
        return new Socket("127.0.0.1", port);
    }

    /**
     * Sends a request on a new connection.
     *
     * @param method method
     * @param target path
     * @param key key
     * @return answer
     */
    Answer send(String method, String target, String key) {
        try (Socket socket = connect()) {
            write(socket, request(method, target, key));
            return read(socket);
        } catch (IOException e) {
            throw new AssertionError("entry does not answer", e);
        }
    }

    /**
     * Writes a request.
     *
     * @param method method
     * @param target path
     * @param key key
     * @return text
     */
    String request(String method, String target, String key) {
        requestCount++;
        String body = method.equals("POST") ? "hello" : "";
        return method
                + " "
                + target
                + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r"
                + requestCount
                + "\r\nX-Credential: "
                + key
                + "\r\nConnection: close\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /**
     * Sends a request without a body.
     *
     * @param to port
     * @param target path
     * @return answer
     */
    static Answer get(int to, String target) {
        try (Socket socket = new Socket("127.0.0.1", to)) {
            write(socket, "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            return read(socket);
        } catch (IOException e) {
            return new Answer("HTTP/1.1 000", "", false);
        }
    }

    /**
     * Writes text.
     *
     * @param socket connection
     * @param text text
     * @throws IOException if the connection is lost
     */
    static void write(Socket socket, String text) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /**
     * Reads an answer to the end of the connection.
     *
     * @param socket connection
     * @return answer
     * @throws IOException if the connection is lost
     */
    static Answer read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        int end = text.indexOf("\r\n\r\n");
        String head = end < 0 ? text : text.substring(0, end);
        String rest = end < 0 ? "" : text.substring(end + 4);
        if (!head.toLowerCase().contains("transfer-encoding: chunked")) {
            return new Answer(head, rest, true);
        }
        StringBuilder body = new StringBuilder();
        while (rest.contains("\r\n")) {
            int line = rest.indexOf("\r\n");
            int length = Integer.parseInt(rest.substring(0, line), 16);
            if (length == 0) {
                return new Answer(head, body.toString(), true);
            }
            body.append(rest, line + 2, line + 2 + length);
            rest = rest.substring(line + 2 + length + 2);
        }
        return new Answer(head, body.toString(), false);
    }
}
