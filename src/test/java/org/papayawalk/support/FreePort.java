package org.papayawalk.support;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds unused loopback ports for tests, and waits for them. The ports lie outside the range from
 * which systems take ports for outgoing connections and for listeners without a port, so none of
 * these takes one before its test listens on it. Thread-safe.
 */
public final class FreePort {
    private static final int FIRST = 12_000;

    /** Exclusive. */
    private static final int END = 32_000;

    /** Ports returned or found in use; processes begin at different places. */
    private static final AtomicInteger TRIED =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % (END - FIRST)));

    private FreePort() {}

    /**
     * Returns a port that was unused at the time of the call and was not returned before.
     *
     * @return TCP port on 127.0.0.1
     * @throws IOException if no port is available
     */
    public static int find() throws IOException {
        for (int i = FIRST; i < END; i++) {
            int port = FIRST + Math.floorMod(TRIED.getAndIncrement(), END - FIRST);
            if (isUnused(port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST + " to " + END + " is unused");
    }

    /**
     * Waits until connections to a port are refused. A listener that another thread waits on still
     * accepts connections for a moment after it was closed.
     *
     * @param port TCP port on 127.0.0.1
     */
    public static void awaitRefusal(int port) {
        while (true) {
            try (Socket probe = new Socket("127.0.0.1", port)) {
                Thread.onSpinWait();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static boolean isUnused(int port) throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket socket = new ServerSocket(port, 1, loopback)) {
            return socket.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
