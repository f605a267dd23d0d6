package org.papayawalk.support;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Server that keeps its connections and sends its answer to the first request again, whole or in
 * part. Serves two requests of one client, one after the other. Thread-safe.
 */
public final class StutteringServer implements AutoCloseable {
    private static final Pattern BODY_LENGTH =
            Pattern.compile("content-length: *([0-9]+)", Pattern.CASE_INSENSITIVE);

    private final ServerSocket listener;

    private final AtomicInteger connections = new AtomicInteger();

    private final AtomicInteger requests = new AtomicInteger();

    private volatile Script script;

    /** Connection of the first request, null until there is one. */
    private volatile OutputStream first;

    /**
     * Starts a server on a free port.
     *
     * @param script what it sends
     * @throws IOException if no port is free
     */
    public StutteringServer(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Threads.start("stuttering-server", this::accept);
    }

    /** When the first answer is sent again. */
    public enum Again {
        /** In one write with the answer. */
        AT_ONCE,
        /** When {@link StutteringServer#stutter} is called. */
        WHILE_IDLE,
        /** When the second request was read, in one write with its answer if that comes there. */
        AFTER_NEXT_REQUEST
    }

    /**
     * What a server sends. Immutable by convention.
     *
     * @param answer answer to the first request
     * @param copy what is sent of it again
     * @param again when
     * @param next answer to the second request
     */
    public record Script(byte[] answer, byte[] copy, Again again, byte[] next) {

        /**
         * Creates a script.
         *
         * @param answer answer to the first request
         * @param copyLength how many bytes of it are sent again
         * @param again when
         * @param next answer to the second request
         * @return script
         */
        public static Script of(String answer, int copyLength, Again again, String next) {
            return new Script(
                    bytes(answer), bytes(answer.substring(0, copyLength)), again, bytes(next));
        }
    }

    /**
     * Changes what the server sends from the next request on, which counts as the first.
     *
     * @param newScript what it sends
     */
    public void play(Script newScript) {
        script = newScript;
        first = null;
        requests.set(0);
        connections.set(0);
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
     * Returns the number of connections that were accepted.
     *
     * @return connections since the last script
     */
    public int connections() {
        return connections.get();
    }

    /** Sends the copy on the connection of the first request, if it is due while that is idle. */
    public void stutter() {
        if (script.again() == Again.WHILE_IDLE) {
            writeIfOpen(first, script.copy());
        }
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
                Threads.start("stuttering-server", () -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (readRequest(in, socket.getOutputStream())) {
                answer(socket.getOutputStream());
            }
        } catch (IOException e) {
            // The other side closed the connection.
        }
    }

    private void answer(OutputStream out) throws IOException {
        Script s = script;
        if (requests.incrementAndGet() == 1) {
            first = out;
            out.write(s.again() == Again.AT_ONCE ? concat(s.answer(), s.copy()) : s.answer());
            return;
        }
        boolean stutters = s.again() == Again.AFTER_NEXT_REQUEST;
        if (stutters && first == out) {
            out.write(concat(s.copy(), s.next()));
            return;
        }
        if (stutters) {
            writeIfOpen(first, s.copy());
        }
        out.write(s.next());
    }

    private static void writeIfOpen(OutputStream out, byte[] bytes) {
        try {
            out.write(bytes);
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    // Returns false at the end of the connection.
    private static boolean readRequest(InputStream in, OutputStream out) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return false;
            }
            head.append((char) b);
        }
        if (head.indexOf("100-continue") >= 0) {
            out.write(bytes("HTTP/1.1 100 Continue\r\n\r\n"));
        }
        Matcher length = BODY_LENGTH.matcher(head);
        in.skipNBytes(length.find() ? Long.parseLong(length.group(1)) : 0);
        return true;
    }

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
