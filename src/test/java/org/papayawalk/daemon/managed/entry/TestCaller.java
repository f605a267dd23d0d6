package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that opens a connection for each request. Confined to one thread. */
final class TestCaller {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final int port;

    /** Requests written so far; the id of request n is "rn". */
    private int requestCount;

    /**
     * Creates a caller.
     *
     * @param port port of the entry on loopback
     */
    TestCaller(int port) {
        this.port = port;
    }

    /**
     * Response as received by the caller. Immutable.
     *
     * @param head status line and headers
     * @param body body without the chunked encoding
     * @param complete whether the end of the body was received
     */
    record Response(String head, String body, boolean complete) {
        /**
         * Returns the status code.
         *
         * @return status code
         */
        int status() {
            return Integer.parseInt(head.split(" ")[1]);
        }
    }

    /**
     * Returns another caller of the same entry, for another thread.
     *
     * @return caller
     */
    TestCaller another() {
        return new TestCaller(port);
    }

    /**
     * Returns the port of the entry.
     *
     * @return port on loopback
     */
    int port() {
        return port;
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
     * @param method HTTP method
     * @param target path
     * @param key caller's key
     * @return response
     */
    Response send(String method, String target, String key) {
        try (Socket socket = connect()) {
            write(socket, request(method, target, key));
            return read(socket);
        } catch (IOException e) {
            throw new AssertionError("no response from the entry on port " + port, e);
        }
    }

    /**
     * Builds a request with a new id.
     *
     * @param method HTTP method; POST requests get a body
     * @param target path
     * @param key caller's key
     * @return text of the request
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
     * Sends a GET request without headers of the platform.
     *
     * @param to port on loopback
     * @param target path
     * @return response, with status 0 if the connection fails
     */
    static Response get(int to, String target) {
        try (Socket socket = new Socket("127.0.0.1", to)) {
            write(socket, "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            return read(socket);
        } catch (IOException e) {
            return new Response("HTTP/1.1 000", "", false);
        }
    }

    /**
     * Writes text and sets the read timeout.
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
     * Reads a response up to the end of the connection.
     *
     * @param socket connection
     * @return response
     * @throws IOException if the connection is lost
     */
    static Response read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        // One character for each byte, as chunks may end inside a character of the body.
        String text = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        String head = end < 0 ? text : text.substring(0, end);
        String rest = end < 0 ? "" : text.substring(end + 4);
        if (!head.toLowerCase().contains("transfer-encoding: chunked")) {
            return new Response(head, decode(rest), true);
        }
        StringBuilder body = new StringBuilder();
        while (rest.contains("\r\n")) {
            int line = rest.indexOf("\r\n");
            int length = Integer.parseInt(rest.substring(0, line), 16);
            if (length == 0) {
                return new Response(head, decode(body.toString()), true);
            }
            body.append(rest, line + 2, line + 2 + length);
            rest = rest.substring(line + 2 + length + 2);
        }
        return new Response(head, decode(body.toString()), false);
    }

    private static String decode(String bytes) {
        return new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }
}
