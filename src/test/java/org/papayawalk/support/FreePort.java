package org.papayawalk.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds unused loopback ports for tests. Stateless and thread-safe. */
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
}
