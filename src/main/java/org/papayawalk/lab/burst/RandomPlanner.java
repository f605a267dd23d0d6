package org.papayawalk.lab.burst;

import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.weight.ChunkSource;
import org.papayawalk.core.weight.FetchRequest;
import org.papayawalk.core.weight.SwarmPeer;

/**
 * Baseline planner that requests random chunks from random peers, and from the origin those that no
 * peer holds. Not thread-safe.
 */
final class RandomPlanner extends BaselinePlanner {
    /** Maximum number of peers with which availability is exchanged. */
    private static final int MAX_NEIGHBORS = 10;

    /** Maximum number of requests in flight to the origin. */
    private static final int MAX_ORIGIN_REQUESTS = 2;

    private final SplittableRandom random;

    /** Chunks that each peer holds. */
    private final Map<HostId, BitSet> chunksByPeer = new HashMap<>();

    /** Empty until the first update with peers; not changed afterwards. */
    private List<HostId> neighbors = List.of();

    /**
     * Creates a planner.
     *
     * @param self name of this host
     * @param chunkCount number of chunks
     * @param maxRequests maximum number of requests in flight
     * @param seed seed of the random generator
     */
    RandomPlanner(HostId self, int chunkCount, int maxRequests, long seed) {
        super(self, chunkCount, maxRequests);
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> hosts) {
        if (!neighbors.isEmpty()) {
            return;
        }
        List<HostId> others =
                new ArrayList<>(hosts.stream().map(SwarmPeer::host).sorted().toList());
        others.remove(self());
        Set<HostId> chosen = new TreeSet<>();
        while (chosen.size() < Math.min(MAX_NEIGHBORS, others.size())) {
            chosen.add(others.get(random.nextInt(others.size())));
        }
        neighbors = List.copyOf(chosen);
    }

    @Override
    public List<HostId> neighbors() {
        return neighbors;
    }

    @Override
    public void updateAvailability(HostId peer, BitSet held) {
        chunksByPeer.put(peer, (BitSet) held.clone());
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<FetchRequest> requests = new ArrayList<>();
        int start = random.nextInt(chunkCount());
        for (int k = 0; k < chunkCount() && hasFreeSlot(); k++) {
            int i = (start + k) % chunkCount();
            ChunkSource source = isRequestable(i) ? chooseSource(i) : null;
            if (source != null) {
                requests.add(addRequest(i, source));
            }
        }
        return requests;
    }

    // Returns a random peer that holds the chunk, else the origin, or null if its slots are in use.
    private ChunkSource chooseSource(int index) {
        List<HostId> holders = new ArrayList<>();
        chunksByPeer.forEach(
                (peer, held) -> {
                    if (held.get(index)) {
                        holders.add(peer);
                    }
                });
        if (!holders.isEmpty()) {
            return new ChunkSource(holders.get(random.nextInt(holders.size())));
        }
        return originRequestCount() < MAX_ORIGIN_REQUESTS ? ChunkSource.ORIGIN : null;
    }
}
