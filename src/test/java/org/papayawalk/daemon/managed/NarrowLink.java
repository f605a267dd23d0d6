package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import org.papayawalk.support.Threads;

/**
 * Forwards connections to an address. All of them share one link, in turn, for what the target
 * sends. Thread-safe.
 */
final class NarrowLink implements AutoCloseable {
    private static final int PARCEL_BYTES = 4096;

    private final ServerSocket listener;

    private final InetSocketAddress target;

    private final long bytesPerSecond;

    // Fair, so that connections take turns.
    private final Lock link = new ReentrantLock(true);

    /**
     * Starts to forward.
     *
     * @param target IP number and port to forward to
     * @param bytesPerSecond bytes that the target can send on all connections together
     * @throws IOException if no port is free
     */
    NarrowLink(String target, long bytesPerSecond) throws IOException {
        String[] parts = target.split(":");
        this.target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        this.bytesPerSecond = bytesPerSecond;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("narrow-link", this::accept);
    }

    /**
     * Returns the address that is forwarded.
     *
     * @return IP number and port
     */
    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
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
                to.setReceiveBufferSize(PARCEL_BYTES);
                to.connect(target);
                from.setSendBufferSize(PARCEL_BYTES);
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                Threads.start("narrow-link", () -> forward(from, to, 0));
                Threads.start("narrow-link", () -> forward(to, from, bytesPerSecond));
            }
        } catch (IOException e) {
            // The link was closed.
        }
    }

    // rate: bytes per second, 0 if there is no bound.
    private void forward(Socket from, Socket to, long rate) {
        byte[] parcel = new byte[PARCEL_BYTES];
        try (from;
                to) {
            int n = from.getInputStream().read(parcel);
            while (n >= 0) {
                occupy(n, rate);
                to.getOutputStream().write(parcel, 0, n);
                n = from.getInputStream().read(parcel);
            }
        } catch (IOException e) {
            // One of them closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void occupy(int bytes, long rate) throws InterruptedException {
        if (rate == 0) {
            return;
        }
        link.lock();
        try {
            TimeUnit.NANOSECONDS.sleep(bytes * TimeUnit.SECONDS.toNanos(1) / rate);
        } finally {
            link.unlock();
        }
    }
}
