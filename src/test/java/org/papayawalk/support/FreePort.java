package org.papayawalk.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Finds unused loopback ports for tests, and waits for them. Stateless and thread-safe. */
public final class FreePort {
    private FreePort() {}

    /**
     * Returns a port that was unused at the time of the call. Another process may take it before
     * the caller listens on it.
     *
     * @return TCP port on 127.0.0.1
     * @throws IOException if no port is available
     */
    public static int find() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
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
}
