package org.papayawalk.lab.burst;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.weight.LinkPacer;

/** Links between regions, one for each ordered pair, with the bytes that they carried. */
final class RegionLinks {
    /** Rate of each link in bytes a second. */
    private final double bytesPerSecond;

    /** Pacers by pair. */
    private final Map<String, LinkPacer> links = new ConcurrentHashMap<>();

    /** Bytes by pair. */
    private final Map<String, AtomicLong> bytes = new ConcurrentHashMap<>();

    /**
     * Creates the links.
     *
     * @param bytesPerSecond rate of each link
     */
    RegionLinks(double bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Returns a link and counts bytes on it.
     *
     * @param from region of the sender
     * @param to region of the receiver
     * @param length bytes to count
     * @return pacer of the link
     */
    LinkPacer between(RegionId from, RegionId to, long length) {
        String pair = from + ">" + to;
        bytes.computeIfAbsent(pair, p -> new AtomicLong()).addAndGet(length);
        return links.computeIfAbsent(pair, p -> new LinkPacer(bytesPerSecond));
    }

    /**
     * Returns the bytes on the link that carried most.
     *
     * @return bytes, 0 if nothing crossed
     */
    long mostBytes() {
        return bytes.values().stream().mapToLong(AtomicLong::get).max().orElse(0);
    }
}
