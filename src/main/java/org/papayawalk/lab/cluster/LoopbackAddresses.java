package org.papayawalk.lab.cluster;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** Gives addresses on loopback. Holds only a counter; safe from any thread. */
public final class LoopbackAddresses {
    /** Port of every address. */
    private static final int PORT = 7000;

    /** Numbers used in each part of an IP number. */
    private static final int NUMBERS = 250;

    /** Number of the last address given. */
    private static final AtomicInteger LAST = new AtomicInteger();

    /** Prevents instances. */
    private LoopbackAddresses() {}

    /**
     * Returns an address that no other caller got. Addresses differ in their IP number from those
     * that outgoing connections use, so that none of these takes the port first.
     *
     * @return IP number and port
     */
    public static InetSocketAddress next() {
        int n = LAST.incrementAndGet();
        long process = ProcessHandle.current().pid();
        String ip = "127.%d.%d.%d".formatted(1 + process % NUMBERS, n / NUMBERS, 1 + n % NUMBERS);
        return new InetSocketAddress(ip, PORT);
    }

    /**
     * Writes an address.
     *
     * @param address address
     * @return IP number and port
     */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
