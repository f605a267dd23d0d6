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

/**
 * Stand-in for a server behind the system. What it does with a request follows from its own mode.
 * Thread-safe.
 */
public final class FakeUpstream implements AutoCloseable {
    /** Events of a whole stream. */
    public static final int EVENTS = 6;

    /** Part of the path of a request under which some servers die. */
    public static final String POISON = "poison";

    /** What the server does with requests. */
    public enum Mode {
        /** Answers whole. */
        WHOLE,
        /** Sends the answer to another request first. */
        STRAY_ANSWER,
        /** Closes the connection in the middle of the body. */
        CUT,
        /** Resets the connection in the middle of a body without a length. */
        UNFRAMED_RESET,
        /** Answers and sends further bytes. */
        EXTRA_BYTES,
        /** States that it did not run the request. */
        NOT_RUN,
        /** Claims not to have run the request by its status alone. */
        BARE_503,
        /** Closes the connection without an answer. */
        LOST_ANSWER,
        /** Answers nothing until the connection is closed. */
        MUTE,
        /** Answers whole once it is told to. */
        HELD,
        /** Fails. */
        ERROR,
        /** Dies under a request whose path says so, answers others whole. */
        DIES_OF_POISON,
        /** Streams three events and part of a fourth, then closes the connection. */
        CUT_STREAM,
        /** Streams. */
        STREAM
    }

    /**
     * Request that a server saw. Immutable.
     *
     * @param line request line
     * @param headers headers by name in lower case
     * @param body body
     */
    public record Seen(String line, Map<String, String> headers, String body) {}

    /** Listening socket. */
    private final ServerSocket listener;

    /** Requests seen. */
    private final List<Seen> seen = new CopyOnWriteArrayList<>();

    /** Connections closed by the other side while a request ran. */
    private final List<String> abandoned = new CopyOnWriteArrayList<>();

    /** Open once held answers may go. */
    private final CountDownLatch releaseLatch = new CountDownLatch(1);

    /** What the server does. */
    private volatile Mode mode;

    /**
     * Starts a server.
     *
     * @param mode what it does
     * @throws IOException if no port can be had
     */
    public FakeUpstream(Mode mode) throws IOException {
        this.mode = mode;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    /**
     * Returns the address.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Returns the requests seen.
     *
     * @return requests in order
     */
    public List<Seen> seen() {
        return seen;
    }

    /**
     * Returns the requests whose connection was closed before they were answered.
     *
     * @return ids of requests
     */
    public List<String> abandoned() {
        return abandoned;
    }

    /**
     * Changes what the server does.
     *
     * @param newMode mode
     */
    public void mode(Mode newMode) {
        mode = newMode;
    }

    /** Lets held answers go. */
    public void release() {
        releaseLatch.countDown();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /**
     * Waits until held answers may go.
     *
     * @throws IOException if the wait is interrupted
     */
    private void hold() throws IOException {
        try {
            releaseLatch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /**
     * Starts a thread.
     *
     * @param task task
     */
    private static void start(Runnable task) {
        Thread thread = new Thread(task, "stand-in-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Accepts connections until the server is closed. */
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

    /**
     * Serves a connection.
     *
     * @param socket connection
     */
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

    /**
     * Reads a request.
     *
     * @param in connection
     * @return request, null at the end of the connection
     * @throws IOException if the connection is lost
     */
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

    /**
     * Reads a line.
     *
     * @param in connection
     * @return line without its end, null at the end of the connection
     * @throws IOException if the connection is lost
     */
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

    /**
     * Answers a request.
     *
     * @param request request
     * @param socket connection
     * @param in connection
     * @return whether the connection is kept
     * @throws IOException if the connection is lost
     */
    private boolean answer(Seen request, Socket socket, InputStream in) throws IOException {
        OutputStream out = socket.getOutputStream();
        String id = request.headers().getOrDefault("x-request-id", "");
        String body = "answer to " + id;
        switch (mode) {
            case WHOLE -> write(out, whole(200, id, body, ""));
            case DIES_OF_POISON -> {
                if (request.line().contains(POISON)) {
                    listener.close();
                    return false;
                }
                write(out, whole(200, id, body, ""));
            }
            case HELD -> {
                hold();
                write(out, whole(200, id, body, ""));
            }
            case STRAY_ANSWER ->
                    write(out, whole(200, "stray", "someone's", "") + whole(200, id, body, ""));
            case EXTRA_BYTES -> write(out, whole(200, id, body, "") + whole(200, id, "again", ""));
            case NOT_RUN -> write(out, whole(503, id, "", "X-Not-Executed: 1\r\n"));
            case BARE_503 -> write(out, whole(503, id, "", ""));
            case ERROR -> write(out, whole(500, id, "failure", ""));
            case STREAM -> write(out, stream(request, id, EVENTS) + "0\r\n\r\n");
            case CUT -> {
                String answer = whole(200, id, body, "");
                write(out, answer.substring(0, answer.length() - 4));
                return false;
            }
            case UNFRAMED_RESET -> {
                write(out, "HTTP/1.1 200 OK\r\n" + marks(id) + "\r\nhalf of a body");
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

    /**
     * Writes text.
     *
     * @param out connection
     * @param text text
     * @throws IOException if the connection is lost
     */
    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /**
     * Writes a whole answer.
     *
     * @param status status
     * @param id id of the request
     * @param body body
     * @param more further headers
     * @return text
     */
    private static String whole(int status, String id, String body, String more) {
        return "HTTP/1.1 "
                + status
                + " X\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + marks(id)
                + more
                + "\r\n"
                + body;
    }

    /**
     * Writes a stream without its end.
     *
     * @param request request
     * @param id id of the request
     * @param upTo last event
     * @return text
     */
    private static String stream(Seen request, String id, int upTo) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
        text.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        text.append(marks(id)).append("\r\n");
        int from = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        for (int i = from + 1; i <= upTo; i++) {
            String event = "id: " + i + "\ndata: part " + i + "\n\n";
            text.append(Integer.toHexString(event.length())).append("\r\n").append(event);
            text.append("\r\n");
        }
        return text.toString();
    }

    /**
     * Writes the headers that mark an answer.
     *
     * @param id id of the request
     * @return headers
     */
    private static String marks(String id) {
        return "X-Request-Id: " + id + "\r\nX-Server-Stamp: code\r\nX-Server-Load: 1,0,4\r\n";
    }
}
