package org.papayawalk.lab.cluster;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates addresses on the loopback network, unique within this process. Thread-safe: its only
 * state is an atomic counter.
 */
public final class LoopbackAddresses {
    private static final int PORT = 7000;

    // Values used in each octet of an IP address.
    private static final int VALUES_PER_OCTET = 250;

    private static final AtomicInteger LAST_INDEX = new AtomicInteger();

    private LoopbackAddresses() {}

    /**
     * Allocates an address. Its IP address is never that of an outgoing connection, so that no
     * outgoing connection can occupy the port first.
     *
     * @return IP address and port, different at each call
     */
    public static InetSocketAddress next() {
        int index = LAST_INDEX.incrementAndGet();
        long processId = ProcessHandle.current().pid();
        String ip =
                "127.%d.%d.%d"
                        .formatted(
                                1 + processId % VALUES_PER_OCTET,
                                index / VALUES_PER_OCTET,
                                1 + index % VALUES_PER_OCTET);
        return new InetSocketAddress(ip, PORT);
    }

    /**
     * Formats an address.
     *
     * @param address resolved address
     * @return {@code IP:PORT}
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
