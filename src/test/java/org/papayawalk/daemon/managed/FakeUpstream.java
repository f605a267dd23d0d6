package org.papayawalk.daemon.managed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.support.Threads;

/** Fake server behind an entry. The mode decides what it does with requests. Thread-safe. */
public final class FakeUpstream implements AutoCloseable {
    /** Number of events in a complete stream. */
    public static final int EVENTS = 6;

    /** What the server does with a request. */
    public enum Mode {
        /** Answers completely. */
        WHOLE,
        /** Sends the answer to another request first. */
        STRAY_ANSWER,
        /** Closes the connection in the middle of the body. */
        CUT,
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
        /**
         * Streams all events after {@link #queueMillis(int)}, unless the connection is closed
         * before.
         */
        QUEUED,
        /** Answers completely after {@link #release()}. */
        HELD,
        /** Answers 500. */
        ERROR,
        /** Stops listening on poison, answers others completely, on the path /advice/ as stream. */
        DIES_OF_POISON,
        /** Streams all events. */
        STREAM,
        /** Answers completely, byte by byte with pauses. */
        SLOW,
        /** Answers completely, the body in even pieces until 2.7 s later. */
        SLOW_BODY,
        /** Plays the answer of {@link #script}. */
        SCRIPT
    }

    /**
     * Request that the server received. Immutable.
     *
     * @param line request line
     * @param headers headers by lower-case name
     * @param body body
     */
    public record Seen(String line, Map<String, String> headers, String body) {
        private int lastEventId() {
            return Integer.parseInt(headers.getOrDefault("last-event-id", "0"));
        }
    }

    private final ServerSocket listener;

    private final List<Seen> seen = new CopyOnWriteArrayList<>();

    // Ids of requests whose connection was closed before the answer.
    private final List<String> abandoned = new CopyOnWriteArrayList<>();

    // Time that requests wait in mode QUEUED.
    private volatile int queueMillis = 300;

    // When requests began in mode QUEUED, by System.nanoTime().
    private final List<Long> begunNanos = new CopyOnWriteArrayList<>();

    private final CountDownLatch releaseLatch = new CountDownLatch(1);

    private volatile Mode mode;

    // What mode SCRIPT plays.
    private volatile Script script;

    // Answers of mode SCRIPT that are left before modeAfterwards begins.
    private volatile AtomicInteger answersLeft;

    private volatile Mode modeAfterwards;

    private final AtomicInteger scriptedConnections = new AtomicInteger();

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
        Threads.start("fake-upstream", this::accept);
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
     * Changes how long requests wait in mode {@link Mode#QUEUED}.
     *
     * @param millis wait in milliseconds, at least 1
     */
    public void queueMillis(int millis) {
        queueMillis = millis;
    }

    /**
     * Returns when requests began in mode {@link Mode#QUEUED}.
     *
     * @return times by {@link System#nanoTime()}
     */
    public List<Long> begunNanos() {
        return begunNanos;
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
     * Plays an answer for the next requests.
     *
     * @param answer answer to play
     * @param answers number of such answers; may be shared by several servers
     * @param then what the server does with further requests
     */
    public void script(Script answer, AtomicInteger answers, Mode then) {
        script = answer;
        answersLeft = answers;
        modeAfterwards = then;
        mode = Mode.SCRIPT;
    }

    /**
     * Returns the connections over which scripts are played at present.
     *
     * @return number of connections that the peer has not closed
     */
    public int scriptedConnections() {
        return scriptedConnections.get();
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

    /** Makes answers state from now on that the server takes requests, as after a start. */
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

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("fake-upstream", () -> serve(socket));
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
                Seen request = RequestReader.read(in);
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

    private Mode presentMode() {
        Mode present = mode;
        boolean spent = present == Mode.SCRIPT && answersLeft.getAndDecrement() <= 0;
        return spent ? modeAfterwards : present;
    }

    // Returns whether the connection stays open.
    private boolean answer(Seen request, Socket socket, InputStream in) throws IOException {
        OutputStream out = socket.getOutputStream();
        String id = request.headers().getOrDefault("x-request-id", "");
        String body = "answer to " + id;
        switch (presentMode()) {
            case WHOLE -> write(out, response(200, id, body, ""));
            case DIES_OF_POISON -> {
                boolean streamed = request.line().contains("/advice/");
                String answer = streamed ? wholeStream(request, id) : response(200, id, body, "");
                return Poison.answer(request, out, answer, listener);
            }
            case HELD -> {
                Threads.await(releaseLatch);
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
            case STREAM -> write(out, wholeStream(request, id));
            case CUT -> {
                write(out, response(200, id, body, "").replaceFirst(".{4}$", ""));
                return false;
            }
            case QUEUED -> {
                return streamAfterWait(request, socket, in);
            }
            case MUTE -> {
                if (in.read() < 0) {
                    abandoned.add(id);
                }
                return false;
            }
            case SLOW -> SlowWriter.writeSlowly(out, response(200, id, body, ""));
            case SLOW_BODY ->
                    SlowWriter.writeSlowBody(out, response(200, id, body, ""), body.length());
            case SCRIPT -> {
                playScript(socket, id);
                return false;
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private boolean streamAfterWait(Seen request, Socket socket, InputStream in)
            throws IOException {
        String id = request.headers().getOrDefault("x-request-id", "");
        socket.setSoTimeout(queueMillis);
        try {
            in.read();
            abandoned.add(id);
            return false;
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(0);
        }
        begunNanos.add(System.nanoTime());
        write(socket.getOutputStream(), wholeStream(request, id));
        return true;
    }

    private void playScript(Socket socket, String id) throws IOException {
        scriptedConnections.incrementAndGet();
        try {
            script.play(socket, id, stampHeaders(id));
        } finally {
            scriptedConnections.decrementAndGet();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private String response(int status, String id, String body, String extraHeaders) {
        return ResponseText.response(status, stampHeaders(id) + extraHeaders, body);
    }

    private String wholeStream(Seen request, String id) {
        int after = request.lastEventId();
        return ResponseText.stream(stampHeaders(id), after, EVENTS) + "0\r\n\r\n";
    }

    private String stampHeaders(String id) {
        String stamp = "X-Request-Id: %s\r\nX-Server-Stamp: code\r\nX-Server-Load: 1,0,4\r\n";
        return stamp.formatted(id) + limitHeader + withheldHeader;
    }
}
