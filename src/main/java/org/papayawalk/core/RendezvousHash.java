package org.papayawalk.core;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;
import org.papayawalk.core.id.HostId;

/**
 * Rendezvous hashing: ranks hosts for a key. Daemons with the same host list compute the same order
 * without communication, and adding or removing a host does not change the relative order of the
 * others. Stateless; thread-safe.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Orders hosts by their rank for a key.
     *
     * @param hosts hosts to order
     * @param key any text; each key has its own order
     * @return the hosts, first choice first
     */
    public static List<HostId> order(Collection<HostId> hosts, String key) {
        long seed = hash(key);
        List<HostId> ordered = new ArrayList<>(hosts);
        ordered.sort(
                Comparator.comparingLong((HostId h) -> score(h, seed))
                        .thenComparing(Comparator.naturalOrder()));
        return ordered;
    }

    /**
     * Returns the rank of a host for a key.
     *
     * @param host host to rank
     * @param hosts hosts to rank it among, with or without the host itself
     * @param key any text; each key has its own order
     * @return number of hosts that precede it, 0 for the first choice
     */
    public static int rank(HostId host, Collection<HostId> hosts, String key) {
        long seed = hash(key);
        long own = score(host, seed);
        int before = 0;
        for (HostId h : hosts) {
            long other = score(h, seed);
            if (other < own || (other == own && h.compareTo(host) < 0)) {
                before++;
            }
        }
        return before;
    }

    // Hosts are ranked by ascending score; ties are broken by name.
    private static long score(HostId host, long seed) {
        return MurmurHash3.hash32(hash(host.value()), seed);
    }

    private static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }
}
