package org.papayawalk.daemon.managed.entry;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.support.Threads;

/**
 * Callers that send the same shape at once and leave their connections open. A caller whose
 * connection the entry closes comes again only if it is one that returns. Thread-safe.
 */
final class Crowd implements AutoCloseable {
    /** Time without a byte sent after which the crowd waits for the entry. */
    private static final long STALLED_MILLIS = 1_500;

    private static final long CHECK_MILLIS = 50;

    /** Time for which callers that return do so before the entry is looked at. */
    private static final long RETURNING_MILLIS = 10_000;

    /** Longest wait until the entry has taken what was sent. */
    private static final long TAKING_MILLIS = 60_000;

    private final int port;

    private final CrowdScript script;

    private final boolean returning;

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private final AtomicInteger sending = new AtomicInteger();

    private final AtomicLong sentBytes = new AtomicLong();

    private volatile boolean closed;

    /**
     * Opens the connections and begins to send.
     *
     * @param port port of the entry on loopback
     * @param size number of callers
     * @param script what each of them sends
     */
    Crowd(int port, int size, CrowdScript script) {
        this(port, size, script, false);
    }

    private Crowd(int port, int size, CrowdScript script, boolean returning) {
        this.port = port;
        this.script = script;
        this.returning = returning;
        sending.set(size);
        for (int i = 0; i < size; i++) {
            Threads.start("crowd", this::call);
        }
    }

    /**
     * Opens the connections of callers that come again whenever the entry has closed theirs.
     *
     * @param port port of the entry on loopback
     * @param size number of callers
     * @param script what each of them sends each time
     * @return crowd
     */
    static Crowd returning(int port, int size, CrowdScript script) {
        return new Crowd(port, size, script, true);
    }

    /**
     * Waits until all callers have sent what they send, or wait for the entry to read, and until
     * the entry has taken what it takes. Callers that return do so for some time.
     *
     * @throws IOException if the state of the connections cannot be read
     */
    void awaitSent() throws IOException {
        long before = -1;
        long quietMillis = 0;
        long leastMillis = returning ? RETURNING_MILLIS : 0;
        while (leastMillis > 0 || (isSending() && quietMillis < STALLED_MILLIS)) {
            long sent = sentBytes.get();
            quietMillis = sent == before ? quietMillis + CHECK_MILLIS : 0;
            before = sent;
            leastMillis -= CHECK_MILLIS;
            sleep();
        }
        if (!returning) {
            awaitTaken();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Socket s : sockets) {
            s.close();
        }
    }

    private void awaitTaken() throws IOException {
        SocketQueues before = null;
        long quietMillis = 0;
        for (long t = 0; t < TAKING_MILLIS && quietMillis < STALLED_MILLIS; t += CHECK_MILLIS) {
            SocketQueues queues = SocketQueues.read(port);
            quietMillis = queues.equals(before) ? quietMillis + CHECK_MILLIS : 0;
            before = queues;
            sleep();
        }
    }

    private boolean isSending() {
        return !returning && sending.get() > 0;
    }

    private void call() {
        do {
            send();
            sleep();
        } while (returning && !closed);
        sending.decrementAndGet();
    }

    private void send() {
        Socket socket = null;
        try {
            socket = new Socket("127.0.0.1", port);
            sockets.add(socket);
            script.send(new CountingStream(socket.getOutputStream()));
            if (returning) {
                socket.getInputStream().readAllBytes();
            }
        } catch (IOException e) {
            // The entry refused or closed the connection, as it may.
        }
        if (returning && socket != null) {
            forget(socket);
        }
    }

    private void forget(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is lost already.
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(CHECK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class CountingStream extends FilterOutputStream {
        CountingStream(OutputStream out) {
            super(out);
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            out.write(bytes);
            sentBytes.addAndGet(bytes.length);
        }
    }
}
