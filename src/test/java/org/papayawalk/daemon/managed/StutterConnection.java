package org.papayawalk.daemon.managed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.function.BiFunction;
import org.papayawalk.daemon.managed.Stutter.Arrival;

/** Connection to a stuttering server. Confined to its thread. */
final class StutterConnection {
    /** Time after which a copy is sent over an idle connection. */
    private static final int IDLE_MILLIS = 2;

    private final Socket socket;

    private final BiFunction<FakeUpstream.Seen, Integer, Reply> replies;

    private OutputStream out;

    /** When the rest of {@link #late} is sent. */
    private Arrival arrival = Arrival.NEVER;

    /** Part of a second copy that is still to be sent. */
    private String late = "";

    /**
     * Answer and when it is sent again. Immutable.
     *
     * @param stutter when and how it is sent again
     * @param answer answer
     */
    record Reply(Stutter stutter, StutterAnswer answer) {}

    /**
     * Creates a connection.
     *
     * @param socket connection; closed at its end
     * @param replies chooses the answer to a request from it and the number of requests that came
     *     on the connection before
     */
    StutterConnection(Socket socket, BiFunction<FakeUpstream.Seen, Integer, Reply> replies) {
        this.socket = socket;
        this.replies = replies;
    }

    /** Answers requests until either side closes the connection. */
    void serve() {
        try (socket) {
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            int earlier = 0;
            while (open) {
                awaitRequest(in);
                FakeUpstream.Seen request = RequestReader.read(in);
                open = request != null && answer(replies.apply(request, earlier));
                earlier++;
            }
        } catch (IOException e) {
            // The other side closed the connection.
        }
    }

    // Sends a copy over the idle connection if no request comes.
    private void awaitRequest(InputStream in) throws IOException {
        if (arrival != Arrival.IDLE) {
            return;
        }
        socket.setSoTimeout(IDLE_MILLIS);
        in.mark(1);
        try {
            in.read();
            in.reset();
        } catch (SocketTimeoutException e) {
            write(takeLate());
        }
        socket.setSoTimeout(0);
    }

    // Returns whether the connection is kept.
    private boolean answer(Reply reply) throws IOException {
        Arrival lateArrival = arrivalAt(reply.answer());
        String copy = takeLate();
        StutterAnswer answer = reply.answer();
        String behind = "";
        switch (lateArrival) {
            case WITH_NEXT -> write(copy + answer.text());
            case DURING_NEXT -> {
                write(answer.start());
                write(copy);
                write(answer.rest());
            }
            case AROUND_NEXT -> {
                write(copy.substring(0, copy.length() / 2));
                behind = copy.substring(copy.length() / 2);
                write(answer.start());
                write(answer.rest());
            }
            default -> {
                write(copy);
                write(answer.start());
                boolean together = reply.stutter().arrival() == Arrival.WITH_ANSWER;
                write(answer.rest() + (together ? copy(reply) : ""));
            }
        }
        if (!answer.keepsConnection()) {
            write(reply.stutter().arrival() == Arrival.AT_ONCE ? copy(reply) : "");
            socket.shutdownOutput();
            return false;
        }
        write(behind);
        startCopy(reply);
        return true;
    }

    // Bytes inside a body that only the end of the connection ends could not be told from it.
    private Arrival arrivalAt(StutterAnswer answer) {
        boolean inside = arrival == Arrival.DURING_NEXT;
        return inside && !answer.keepsConnection() ? Arrival.BEFORE_NEXT : arrival;
    }

    private void startCopy(Reply reply) throws IOException {
        switch (reply.stutter().arrival()) {
            case NEVER, WITH_ANSWER -> {
                // Nothing is left.
            }
            case AT_ONCE -> write(copy(reply));
            default -> {
                arrival = reply.stutter().arrival();
                late = copy(reply);
            }
        }
    }

    private static String copy(Reply reply) {
        String text = reply.answer().text();
        return text.substring(0, Math.min(text.length(), reply.stutter().cut()));
    }

    private String takeLate() {
        String taken = late;
        late = "";
        arrival = Arrival.NEVER;
        return taken;
    }

    private void write(String text) throws IOException {
        if (!text.isEmpty()) {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
