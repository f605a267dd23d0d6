package org.papayawalk.core;

import java.net.InetSocketAddress;

/** Parses network addresses. Stateless; thread-safe. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address that was validated before.
     *
     * @param address IP address and port, such as {@code 10.0.0.1:7000} or {@code [::1]:7000}
     * @return socket address
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }
}
