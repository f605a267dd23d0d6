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
 * Callers that send the same shape at once and leave their connections open. A connection that the
 * entry closes is not opened again. Thread-safe.
 */
final class Crowd implements AutoCloseable {
    /** Time without a byte sent after which the crowd waits for the entry. */
    private static final long STALLED_MILLIS = 1_500;

    private static final long CHECK_MILLIS = 50;

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private final AtomicInteger sending = new AtomicInteger();

    private final AtomicLong sentBytes = new AtomicLong();

    /**
     * Opens the connections and begins to send.
     *
     * @param port port of the entry on loopback
     * @param size number of callers
     * @param shape what each of them sends
     */
    Crowd(int port, int size, CrowdShape shape) {
        sending.set(size);
        for (int i = 0; i < size; i++) {
            Threads.start("crowd", () -> send(port, shape));
        }
    }

    /** Waits until all callers have sent what they send, or wait for the entry to read. */
    void awaitSent() {
        long before = -1;
        long quietMillis = 0;
        while (sending.get() > 0 && quietMillis < STALLED_MILLIS) {
            long sent = sentBytes.get();
            quietMillis = sent == before ? quietMillis + CHECK_MILLIS : 0;
            before = sent;
            sleep();
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
    }

    private void send(int port, CrowdShape shape) {
        try {
            Socket socket = new Socket("127.0.0.1", port);
            sockets.add(socket);
            shape.send(new CountingStream(socket.getOutputStream()));
        } catch (IOException e) {
            // The entry refused or closed the connection, as it may.
        } finally {
            sending.decrementAndGet();
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
