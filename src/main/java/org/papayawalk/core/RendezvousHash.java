package org.papayawalk.core;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;
import org.papayawalk.core.id.HostId;

/**
 * Orders hosts for a key so that every daemon with the same list computes the same order, and a
 * host that comes or goes moves no other pair. Holds no state; safe from any thread.
 */
public final class RendezvousHash {

    /** Prevents instances. */
    private RendezvousHash() {}

    /**
     * Orders hosts for a key.
     *
     * @param hosts hosts to order
     * @param key thing that the order is for
     * @return the hosts, first choice first
     */
    public static List<HostId> order(Collection<HostId> hosts, String key) {
        long seed = hash(key);
        List<HostId> ordered = new ArrayList<>(hosts);
        ordered.sort(
                Comparator.comparingLong((HostId h) -> weight(h, seed))
                        .thenComparing(Comparator.naturalOrder()));
        return ordered;
    }

    /**
     * Returns the place of a host in the order for a key.
     *
     * @param host host to look for
     * @param hosts hosts to order, with or without the host itself
     * @param key thing that the order is for
     * @return number of hosts before it, 0 for the first choice
     */
    public static int rank(HostId host, Collection<HostId> hosts, String key) {
        long seed = hash(key);
        long own = weight(host, seed);
        int before = 0;
        for (HostId h : hosts) {
            long other = weight(h, seed);
            if (other < own || (other == own && h.compareTo(host) < 0)) {
                before++;
            }
        }
        return before;
    }

    /**
     * Computes the weight of a host for a key.
     *
     * @param host host to weigh
     * @param seed hash of the key
     * @return weight, lower comes first
     */
    private static long weight(HostId host, long seed) {
        return MurmurHash3.hash32(hash(host.value()), seed);
    }

    /**
     * Hashes a text.
     *
     * @param text text to hash
     * @return 64 bits
     */
    private static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }
}
