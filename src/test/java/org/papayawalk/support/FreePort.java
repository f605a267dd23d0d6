package org.papayawalk.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports on loopback for tests. Holds no state; safe from any thread. */
public final class FreePort {

    /** Prevents instances. */
    private FreePort() {}

    /**
     * Finds a port that nobody listens on.
     *
     * @return port
     * @throws IOException if none can be had
     */
    public static int find() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }
}
