package org.papayawalk.lab.burst;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.weight.LinkPacer;

/**
 * Links between regions, one for each ordered pair of regions, with the number of bytes that each
 * carried. Thread-safe.
 */
final class RegionLinks {
    /** Rate of each link. */
    private final double bytesPerSecond;

    /** Pacers by link, named {@code from>to}. */
    private final Map<String, LinkPacer> pacers = new ConcurrentHashMap<>();

    /** Bytes carried by link, named {@code from>to}. */
    private final Map<String, AtomicLong> byteCounts = new ConcurrentHashMap<>();

    /**
     * Creates links that carried no bytes.
     *
     * @param bytesPerSecond rate of each link, in bytes per second
     */
    RegionLinks(double bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Adds to the bytes that a link carried, and returns its pacer.
     *
     * @param from region of the sender
     * @param to region of the receiver
     * @param length number of bytes
     * @return pacer of the link
     */
    LinkPacer countAndGetPacer(RegionId from, RegionId to, long length) {
        String link = from + ">" + to;
        byteCounts.computeIfAbsent(link, p -> new AtomicLong()).addAndGet(length);
        return pacers.computeIfAbsent(link, p -> new LinkPacer(bytesPerSecond));
    }

    /**
     * Returns the number of bytes on the most used link.
     *
     * @return bytes, 0 if no link was used
     */
    long maxBytes() {
        return byteCounts.values().stream().mapToLong(AtomicLong::get).max().orElse(0);
    }
}
