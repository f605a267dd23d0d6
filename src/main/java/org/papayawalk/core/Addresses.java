package org.papayawalk.core;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks and parses network addresses. Looks up no names. Stateless; thread-safe. */
public final class Addresses {
    private static final int MAX_LENGTH = "255.255.255.255:65535".length();

    private static final Pattern IP_AND_PORT =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):([1-9]\\d{0,4})");

    private static final int IP_BYTES = 4;

    private static final int MAX_BYTE = 255;

    /** First byte from which on addresses are for multicast or reserved. */
    private static final int FIRST_MULTICAST = 224;

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Tells whether a process may listen at an address that somebody else wrote.
     *
     * @param address text, may be null
     * @return true for an IPv4 address of one host and a port, such as {@code 10.0.0.1:7000}
     */
    public static boolean isIpAndPort(String address) {
        if (address == null || address.length() > MAX_LENGTH) {
            return false;
        }
        Matcher parts = IP_AND_PORT.matcher(address);
        if (!parts.matches()) {
            return false;
        }
        for (int i = 1; i <= IP_BYTES; i++) {
            String part = parts.group(i);
            boolean padded = part.length() > 1 && part.startsWith("0");
            if (padded || Integer.parseInt(part) > MAX_BYTE) {
                return false;
            }
        }
        int first = Integer.parseInt(parts.group(1));
        int port = Integer.parseInt(parts.group(IP_BYTES + 1));
        return first > 0 && first < FIRST_MULTICAST && port <= MAX_PORT;
    }

    /**
     * Parses an address.
     *
     * @param address IP address and port, such as {@code 10.0.0.1:7000} or {@code [::1]:7000}
     * @return socket address
     * @throws IllegalArgumentException if the text has no port, or one out of range
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address \"" + address + "\" has no port");
        }
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }
}
