package org.papayawalk.core.weight;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Order of the sources to try for each chunk that no neighbor offers. Rendezvous hashing over the
 * hosts of a region assigns each chunk to one host: in the region of the origin, the host that
 * requests the chunk from the origin; in any other region, the host that requests it from the
 * region of the origin. A host tries the hosts before it in the order first, and the origin only if
 * these do not deliver. So the origin sends each chunk once while no host fails, and the next host
 * in the order takes over from a failed one. Not thread-safe, as computed orders are cached:
 * confined to the thread of its planner.
 */
final class FallbackOrder {
    /** Hosts of the origin's region that a host of another region tries before the origin. */
    private static final int MAX_ORIGIN_REGION_HOSTS = 3;

    private final HostId self;

    /** Digest of the version; part of the rendezvous key of each chunk. */
    private final String key;

    /** Hosts of the region of this host, including this host. */
    private final List<HostId> regionHosts;

    /** Hosts of the region of the origin; empty if that is the region of this host. */
    private final List<HostId> originRegionHosts;

    /** Computed orders, by chunk index. */
    private final Map<Integer, List<ChunkSource>> cache = new HashMap<>();

    /**
     * Creates the order for a set of hosts.
     *
     * @param self name of this host
     * @param region region of this host
     * @param originRegion region of the origin
     * @param key digest of the version
     * @param peers hosts that download the version, with or without this one
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
        this.regionHosts = List.copyOf(sameRegion);
        this.originRegionHosts = List.copyOf(originHosts);
    }

    /**
     * Returns the number of hosts of the same region that come before this host for a chunk.
     *
     * @param index index of the chunk
     * @return 0 if the chunk is assigned to this host
     */
    int rank(int index) {
        return RendezvousHash.rank(self, regionHosts, chunkKey(index));
    }

    /**
     * Returns the sources to try for a chunk, in this order.
     *
     * @param index index of the chunk
     * @return hosts of the same region before this host, then hosts of the origin's region, then
     *     the origin
     */
    List<ChunkSource> sources(int index) {
        return cache.computeIfAbsent(index, this::computeSources);
    }

    private List<ChunkSource> computeSources(int index) {
        List<ChunkSource> sources = new ArrayList<>();
        for (HostId h : RendezvousHash.order(regionHosts, chunkKey(index))) {
            if (h.equals(self)) {
                break;
            }
            sources.add(new ChunkSource(h));
        }
        RendezvousHash.order(originRegionHosts, chunkKey(index)).stream()
                .limit(MAX_ORIGIN_REGION_HOSTS)
                .map(ChunkSource::new)
                .forEach(sources::add);
        sources.add(ChunkSource.ORIGIN);
        return sources;
    }

    /**
     * Returns whether a host is in the region of this host, so that requests to it do not use the
     * link between regions.
     *
     * @param host host
     * @return true if it downloads the version in the same region
     */
    boolean isInRegion(HostId host) {
        return regionHosts.contains(host);
    }

    /**
     * Returns the neighbors of this host: a pseudo-random subset of the other hosts of its region,
     * which stays the same for the same set of hosts.
     *
     * @param limit maximum number of neighbors
     * @return at most that many hosts
     */
    List<HostId> neighbors(int limit) {
        List<HostId> others = regionHosts.stream().filter(h -> !h.equals(self)).toList();
        List<HostId> ordered = RendezvousHash.order(others, key + "/swarm/" + self);
        return ordered.subList(0, Math.min(limit, ordered.size()));
    }

    private String chunkKey(int index) {
        return key + "/" + index;
    }
}
