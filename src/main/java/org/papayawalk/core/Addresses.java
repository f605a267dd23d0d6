package org.papayawalk.core;

import java.net.InetSocketAddress;

/** Reads addresses. Holds no state; safe from any thread. */
public final class Addresses {

    /** Prevents instances. */
    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param address IP number and port
     * @return socket address
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }
}
