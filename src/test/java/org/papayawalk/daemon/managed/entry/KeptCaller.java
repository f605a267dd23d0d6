package org.papayawalk.daemon.managed.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Caller that keeps its connection for many requests. Confined to one thread. */
final class KeptCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** Time for which bytes without a request are waited for at the end. */
    private static final int END_MILLIS = 20;

    private static final int RECEIVE_BUFFER_BYTES = 4096;

    /** Pause of a slow caller before it reads a body. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final int port;

    /** What was received while no request was waiting. */
    private final List<String> unasked = new ArrayList<>();

    /** Null while there is no connection. */
    private Socket socket;

    private InputStream in;

    /** How a caller takes its answer. */
    enum Pace {
        /** At once. */
        FAST,
        /** After a pause, through a small buffer. */
        SLOW,
        /** Not at all: it closes its connection after the request. */
        LEAVES,
        /** It closes its connection after the first byte of the answer. */
        LEAVES_EARLY
    }

    /**
     * Request. Immutable.
     *
     * @param attempt name of this sending, unlike that of any other
     * @param id id of the request
     * @param method HTTP method; POST requests get a body
     * @param prefix prefix of the path
     * @param deadlineMillis time that the caller waits
     */
    record Request(String attempt, String id, String method, String prefix, int deadlineMillis) {
        private String text() {
            String body = method.equals("POST") ? attempt : "";
            return "%s %s%s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nAttempt: %s\r\n"
                            .formatted(method, prefix, attempt, id, attempt)
                    + "X-Credential: key-1\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(deadlineMillis, body.length(), body);
        }
    }

    /**
     * Answer as received. Immutable.
     *
     * @param request request
     * @param status status, 0 if there is no answer
     * @param headers headers by lower-case name
     * @param body body without transfer encoding
     * @param complete whether the end of the body was received
     */
    record Received(
            Request request,
            int status,
            Map<String, String> headers,
            String body,
            boolean complete) {}

    /**
     * Creates a caller that is not connected.
     *
     * @param port port of the entry on loopback
     */
    KeptCaller(int port) {
        this.port = port;
    }

    /**
     * Sends a request and reads the answer.
     *
     * @param request request
     * @param pace how the answer is read
     * @return answer
     * @throws IOException if the entry does not listen
     */
    Received send(Request request, Pace pace) throws IOException {
        connect(pace == Pace.SLOW);
        TestCaller.write(socket, request.text());
        if (pace == Pace.LEAVES || pace == Pace.LEAVES_EARLY) {
            if (pace == Pace.LEAVES_EARLY) {
                in.read();
            }
            disconnect();
            return new Received(request, 0, Map.of(), "", false);
        }
        Received received = read(request, pace);
        boolean closes = "close".equals(received.headers().get("connection"));
        if (!received.complete() || closes) {
            disconnect();
        }
        return received;
    }

    /**
     * Sends the text of a request on the connection that is open, or on the first one.
     *
     * @param text whole request
     * @return status of the answer
     * @throws IOException if the connection is lost
     */
    int sendOnKept(String text) throws IOException {
        connect(false);
        TestCaller.write(socket, text);
        Request request = new Request("", "", "POST", "", 0);
        return read(request, Pace.FAST).status();
    }

    /**
     * Returns what was received while no request was waiting.
     *
     * @return descriptions, none if nothing was received
     */
    List<String> unasked() {
        return unasked;
    }

    @Override
    public void close() throws IOException {
        if (socket == null) {
            return;
        }
        socket.setSoTimeout(END_MILLIS);
        try {
            recordUnasked(in.read() >= 0);
        } catch (SocketTimeoutException e) {
            // Nothing was received.
        }
        disconnect();
    }

    private void connect(boolean slow) throws IOException {
        if (socket != null) {
            recordUnasked(in.available() > 0);
        }
        if (socket != null && slow) {
            disconnect();
        }
        if (socket != null) {
            return;
        }
        socket = new Socket();
        if (slow) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        }
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    private void recordUnasked(boolean found) {
        if (found) {
            unasked.add("bytes on a connection with no request waiting");
        }
    }

    private void disconnect() throws IOException {
        socket.close();
        socket = null;
    }

    private Received read(Request request, Pace pace) {
        int status = 0;
        Map<String, String> headers = new HashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            status = Integer.parseInt(line().split(" ")[1]);
            for (String h = line(); !h.isEmpty(); h = line()) {
                int colon = h.indexOf(':');
                String name = h.substring(0, colon).toLowerCase(Locale.ROOT);
                headers.put(name, h.substring(colon + 1).strip());
            }
            if (pace == Pace.SLOW) {
                LockSupport.parkNanos(PAUSE_NANOS);
            }
            boolean chunked = "chunked".equals(headers.get("transfer-encoding"));
            if (request.method().equals("HEAD")) {
                complete = true;
            } else if (chunked) {
                readChunks(body);
                complete = true;
            } else {
                int length = Integer.parseInt(headers.get("content-length"));
                body.write(in.readNBytes(length));
                complete = body.size() == length;
            }
        } catch (IOException e) {
            // The answer is incomplete.
        }
        String text = body.toString(StandardCharsets.ISO_8859_1);
        return new Received(request, status, Map.copyOf(headers), text, complete);
    }

    private void readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            int length = Integer.parseInt(line(), 16);
            body.write(in.readNBytes(length));
            line();
            if (length == 0) {
                return;
            }
        }
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("connection ended");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
