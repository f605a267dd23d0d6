package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.papayawalk.support.Threads;

/**
 * Forwards connections to an address and delays what is sent in each direction, the end of a
 * connection included. Thread-safe.
 */
public final class SlowLink implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    private final ServerSocket listener;

    private final String target;

    private volatile long delayThereMillis;

    private volatile long delayBackMillis;

    /**
     * Starts to forward without a delay.
     *
     * @param target IP number and port to forward to
     * @throws IOException if no port is free
     */
    public SlowLink(String target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("slow-link", this::accept);
    }

    /**
     * Returns the address that is forwarded.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Changes the delay of what is sent to the target from now on.
     *
     * @param millis delay in milliseconds
     */
    public void delayThere(long millis) {
        delayThereMillis = millis;
    }

    /**
     * Changes the delay of what the target sends from now on.
     *
     * @param millis delay in milliseconds
     */
    public void delayBack(long millis) {
        delayBackMillis = millis;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket from = listener.accept();
                Socket to = new Socket();
                String[] parts = target.split(":");
                to.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                forward(from, to, () -> delayThereMillis);
                forward(to, from, () -> delayBackMillis);
            }
        } catch (IOException e) {
            // The link was closed.
        }
    }

    private static void forward(Socket from, Socket to, LongSupplier delayMillis) {
        BlockingQueue<Parcel> underway = new LinkedBlockingQueue<>();
        Threads.start("slow-link", () -> read(from, underway, delayMillis));
        Threads.start("slow-link", () -> deliver(underway, to));
    }

    private static void read(
            Socket from, BlockingQueue<Parcel> underway, LongSupplier delayMillis) {
        byte[] buffer = new byte[BUFFER_BYTES];
        int n = 0;
        while (n >= 0) {
            try {
                n = from.getInputStream().read(buffer);
            } catch (IOException e) {
                n = -1;
            }
            byte[] data = n < 0 ? null : Arrays.copyOf(buffer, n);
            underway.add(new Parcel(System.nanoTime() + nanos(delayMillis.getAsLong()), data));
        }
    }

    private static void deliver(BlockingQueue<Parcel> underway, Socket to) {
        try (to) {
            OutputStream out = to.getOutputStream();
            while (true) {
                Parcel next = underway.take();
                TimeUnit.NANOSECONDS.sleep(next.dueNanos - System.nanoTime());
                if (next.data == null) {
                    return;
                }
                out.write(next.data);
                out.flush();
            }
        } catch (IOException e) {
            // The receiver closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    // Bytes to deliver, or null for the end of the connection.
    private record Parcel(long dueNanos, byte[] data) {}
}
