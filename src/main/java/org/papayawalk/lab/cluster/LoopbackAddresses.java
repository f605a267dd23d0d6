package org.papayawalk.lab.cluster;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** Gives addresses on loopback. Holds only a counter; safe from any thread. */
public final class LoopbackAddresses {
    /** Port of every address. */
    private static final int PORT = 7000;

    /** Numbers used in each part of an IP number. */
    private static final int VALUES_PER_OCTET = 250;

    /** Number of the last address given. */
    private static final AtomicInteger LAST_INDEX = new AtomicInteger();

    /** Prevents instances. */
    private LoopbackAddresses() {}

    /**
     * Returns an address that no other caller got. Addresses differ in their IP number from those
     * that outgoing connections use, so that none of these takes the port first.
     *
     * @return IP number and port
     */
    public static InetSocketAddress next() {
        int n = LAST_INDEX.incrementAndGet();
        long process = ProcessHandle.current().pid();
        String ip =
                "127.%d.%d.%d"
                        .formatted(
                                1 + process % VALUES_PER_OCTET,
                                n / VALUES_PER_OCTET,
                                1 + n % VALUES_PER_OCTET);
        return new InetSocketAddress(ip, PORT);
    }

    /**
     * Writes an address.
     *
     * @param address address
     * @return IP number and port
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
