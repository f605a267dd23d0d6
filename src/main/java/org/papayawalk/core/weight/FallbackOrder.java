package org.papayawalk.core.weight;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.Rendezvous;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Names, for each chunk, whom to ask when no neighbour offers it. Rendezvous hashing over the hosts
 * of the origin's region names the one that asks the origin; over the hosts of another region, the
 * one that brings the chunk across the link. A host asks those before it in the order first and the
 * origin only when it is its own turn, so that each chunk leaves the origin once while the hosts
 * are well, and a host that is lost is replaced by the next. Immutable; safe from any thread.
 */
final class FallbackOrder {
    /** Hosts of the origin's region that a host of another region asks before the origin. */
    private static final int REMOTE_ATTEMPTS = 3;

    /** Name of this host. */
    private final HostId self;

    /** Digest of the version, part of each chunk's key. */
    private final String key;

    /** Hosts of this host's own region, this host among them. */
    private final List<HostId> isInRegion;

    /** Hosts of the origin's region if that is another one, else empty. */
    private final List<HostId> home;

    /** Sources computed so far, by chunk. */
    private final Map<Integer, List<ChunkSource>> cache = new HashMap<>();

    /**
     * Creates the walk for a set of hosts.
     *
     * @param self name of this host
     * @param region region of this host
     * @param originRegion region of the origin
     * @param key digest of the version
     * @param peers hosts that want the version, with or without this one
     */
    FallbackOrder(
            HostId self,
            RegionId region,
            RegionId originRegion,
            String key,
            Collection<SwarmPeer> peers) {
        this.self = self;
        this.key = key;
        List<HostId> sameRegion = new ArrayList<>();
        List<HostId> originHosts = new ArrayList<>();
        for (SwarmPeer p : peers) {
            if (p.host().equals(self)) {
                continue;
            }
            if (p.region().equals(region)) {
                sameRegion.add(p.host());
            } else if (p.region().equals(originRegion)) {
                originHosts.add(p.host());
            }
        }
        sameRegion.add(self);
        this.isInRegion = List.copyOf(sameRegion);
        this.home = List.copyOf(originHosts);
    }

    /**
     * Returns the number of hosts of the own region that come before this one for a chunk.
     *
     * @param index index of the chunk
     * @return 0 if this host is the first to fetch the chunk for its region
     */
    int rank(int index) {
        return Rendezvous.rank(self, isInRegion, chunkKey(index));
    }

    /**
     * Returns the sources to ask in turn. The last is the origin.
     *
     * @param index index of the chunk
     * @return hosts before this one, then hosts of the origin's region, then the origin
     */
    List<ChunkSource> sources(int index) {
        return cache.computeIfAbsent(index, this::compute);
    }

    /**
     * Computes the sources to ask in turn.
     *
     * @param index index of the chunk
     * @return sources, the origin last
     */
    private List<ChunkSource> compute(int index) {
        List<ChunkSource> sources = new ArrayList<>();
        for (HostId h : Rendezvous.order(isInRegion, chunkKey(index))) {
            if (h.equals(self)) {
                break;
            }
            sources.add(new ChunkSource(h));
        }
        Rendezvous.order(home, chunkKey(index)).stream()
                .limit(REMOTE_ATTEMPTS)
                .map(ChunkSource::new)
                .forEach(sources::add);
        sources.add(ChunkSource.ORIGIN);
        return sources;
    }

    /**
     * Tells whether a host is in the own region.
     *
     * @param host host
     * @return true if chunks may be asked of it as often as one likes
     */
    boolean isInRegion(HostId host) {
        return isInRegion.contains(host);
    }

    /**
     * Returns the neighbours of this host: a bounded random set of its own region.
     *
     * @param limit number of neighbours
     * @return at most that many hosts
     */
    List<HostId> neighbors(int limit) {
        List<HostId> others = isInRegion.stream().filter(h -> !h.equals(self)).toList();
        List<HostId> ordered = Rendezvous.order(others, key + "/swarm/" + self);
        return ordered.subList(0, Math.min(limit, ordered.size()));
    }

    /**
     * Returns the key of a chunk in the rendezvous order.
     *
     * @param index index of the chunk
     * @return key
     */
    private String chunkKey(int index) {
        return key + "/" + index;
    }
}
