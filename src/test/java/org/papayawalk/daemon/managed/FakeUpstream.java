package org.papayawalk.daemon.managed;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** Fake server behind an entry. The mode decides what it does with requests. Thread-safe. */
public final class FakeUpstream implements AutoCloseable {
    /** Number of events in a complete stream. */
    public static final int EVENTS = 6;

    /**
     * Part of the path of a poison request, on which servers in mode {@link Mode#DIES_OF_POISON}
     * stop.
     */
    public static final String POISON = "poison";

    /** What the server does with a request. */
    public enum Mode {
        /** Answers completely. */
        WHOLE,
        /** Sends the answer to another request first. */
        STRAY_ANSWER,
        /** Closes the connection in the middle of the body. */
        CUT,
        /** Resets the connection in the middle of a body without a length. */
        UNFRAMED_RESET,
        /** Answers and sends further bytes. */
        EXTRA_BYTES,
        /** Answers 503 with the header that states that the request did not run. */
        NOT_RUN,
        /** Answers 503 without that header. */
        BARE_503,
        /** Closes the connection without an answer. */
        LOST_ANSWER,
        /** Never answers; waits until the connection is closed. */
        MUTE,
        /** Answers completely after {@link #release()}. */
        HELD,
        /** Answers 500. */
        ERROR,
        /** Stops listening on a poison request, answers others completely. */
        DIES_OF_POISON,
        /** Streams three events and part of a fourth, then closes the connection. */
        CUT_STREAM,
        /** Streams all events. */
        STREAM
    }

    /**
     * Request that the server received. Immutable.
     *
     * @param line request line
     * @param headers headers by lower-case name
     * @param body body
     */
    public record Seen(String line, Map<String, String> headers, String body) {}

    private final ServerSocket listener;

    private final List<Seen> seen = new CopyOnWriteArrayList<>();

    // Ids of requests whose connection was closed before the answer.
    private final List<String> abandoned = new CopyOnWriteArrayList<>();

    private final CountDownLatch releaseLatch = new CountDownLatch(1);

    private volatile Mode mode;

    // Header by which answers state a limit, empty if they state none.
    private volatile String limitHeader = "";

    // Header by which answers state that the server takes no new requests, empty if they do not.
    private volatile String withheldHeader = "";

    /**
     * Starts a server on a free port.
     *
     * @param mode what it does with requests
     * @throws IOException if no port is free
     */
    public FakeUpstream(Mode mode) throws IOException {
        this.mode = mode;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    /**
     * Returns the address of the server.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Returns the requests received so far.
     *
     * @return requests in order of arrival; may be cleared
     */
    public List<Seen> seen() {
        return seen;
    }

    /**
     * Returns the requests whose connection was closed before they were answered, in mode {@link
     * Mode#MUTE}.
     *
     * @return ids of requests; may be cleared
     */
    public List<String> abandoned() {
        return abandoned;
    }

    /**
     * Changes what the server does with requests.
     *
     * @param newMode mode from the next request on
     */
    public void mode(Mode newMode) {
        mode = newMode;
    }

    /**
     * Makes all answers with a stamp state a limit from now on.
     *
     * @param perSecond requests per second from all entries together
     */
    public void limit(double perSecond) {
        limitHeader = "Server-Limit: " + perSecond + "\r\n";
    }

    /** Makes answers state no limit from now on. */
    public void unlimited() {
        limitHeader = "";
    }

    /** Makes all answers with a stamp state from now on that the server leaves. */
    public void leave() {
        withheldHeader = "Server-Leaving: 1\r\n";
    }

    /**
     * Makes all answers with a stamp carry a Retry-After header from now on.
     *
     * @param text value of the header
     */
    public void retryAfter(String text) {
        withheldHeader = "Retry-After: " + text + "\r\n";
    }

    /** Makes answers state from now on that the server takes requests, as after a new start. */
    public void restart() {
        withheldHeader = "";
    }

    /** Sends the answers that mode {@link Mode#HELD} holds back. */
    public void release() {
        releaseLatch.countDown();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void awaitRelease() throws IOException {
        try {
            releaseLatch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "fake-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Seen request = read(in);
                if (request == null) {
                    return;
                }
                seen.add(request);
                if (!answer(request, socket, in)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The other side closed the connection.
        }
    }

    // Returns null at the end of the connection.
    private static Seen read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            String name = h.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, h.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Seen(line, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    // Returns a line without its end, null at the end of the connection.
    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    // Returns whether the connection stays open.
    private boolean answer(Seen request, Socket socket, InputStream in) throws IOException {
        OutputStream out = socket.getOutputStream();
        String id = request.headers().getOrDefault("x-request-id", "");
        String body = "answer to " + id;
        switch (mode) {
            case WHOLE -> write(out, response(200, id, body, ""));
            case DIES_OF_POISON -> {
                if (request.line().contains(POISON)) {
                    listener.close();
                    return false;
                }
                write(out, response(200, id, body, ""));
            }
            case HELD -> {
                awaitRelease();
                write(out, response(200, id, body, ""));
            }
            case STRAY_ANSWER ->
                    write(
                            out,
                            response(200, "stray", "someone's", "") + response(200, id, body, ""));
            case EXTRA_BYTES ->
                    write(out, response(200, id, body, "") + response(200, id, "again", ""));
            case NOT_RUN -> write(out, response(503, id, "", "X-Not-Executed: 1\r\n"));
            case BARE_503 -> write(out, response(503, id, "", ""));
            case ERROR -> write(out, response(500, id, "failure", ""));
            case STREAM -> write(out, stream(request, id, EVENTS) + "0\r\n\r\n");
            case CUT -> {
                String answer = response(200, id, body, "");
                write(out, answer.substring(0, answer.length() - 4));
                return false;
            }
            case UNFRAMED_RESET -> {
                write(out, "HTTP/1.1 200 OK\r\n" + stampHeaders(id) + "\r\nhalf of a body");
                socket.setSoLinger(true, 0);
                return false;
            }
            case CUT_STREAM -> {
                write(out, stream(request, id, EVENTS / 2) + "9\r\nid: 4\ndat\r\n");
                return false;
            }
            case MUTE -> {
                if (in.read() < 0) {
                    abandoned.add(id);
                }
                return false;
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private String response(int status, String id, String body, String extraHeaders) {
        return "HTTP/1.1 "
                + status
                + " X\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + stampHeaders(id)
                + extraHeaders
                + "\r\n"
                + body;
    }

    // Returns the stream up to an event, without the last chunk.
    private String stream(Seen request, String id, int upTo) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
        text.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        text.append(stampHeaders(id)).append("\r\n");
        int from = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        for (int i = from + 1; i <= upTo; i++) {
            String event = "id: " + i + "\ndata: part " + i + "\n\n";
            text.append(Integer.toHexString(event.length())).append("\r\n").append(event);
            text.append("\r\n");
        }
        return text.toString();
    }

    private String stampHeaders(String id) {
        return "X-Request-Id: "
                + id
                + "\r\nX-Server-Stamp: code\r\nX-Server-Load: 1,0,4\r\n"
                + limitHeader
                + withheldHeader;
    }
}
