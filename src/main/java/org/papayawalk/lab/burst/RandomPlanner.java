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
 * Asks random peers for random chunks, and the origin for random chunks that no peer offers. Not
 * thread-safe.
 */
final class RandomPlanner extends BaselinePlanner {
    /** Peers that availability is exchanged with. */
    private static final int NEIGHBOURS = 10;

    /** Requests to the origin under way at most. */
    private static final int MAX_ORIGIN = 2;

    /** Source of choices. */
    private final SplittableRandom random;

    /** Chunks offered, by peer. */
    private final Map<HostId, BitSet> offers = new HashMap<>();

    /** Peers that availability is exchanged with. */
    private List<HostId> neighbours = List.of();

    /**
     * Creates a planner.
     *
     * @param self name of this host
     * @param chunkCount number of chunks
     * @param maxRequests requests under way at most
     * @param seed seed of the choices
     */
    RandomPlanner(HostId self, int chunkCount, int maxRequests, long seed) {
        super(self, chunkCount, maxRequests);
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> hosts) {
        if (!neighbours.isEmpty()) {
            return;
        }
        List<HostId> others =
                new ArrayList<>(hosts.stream().map(SwarmPeer::host).sorted().toList());
        others.remove(self());
        Set<HostId> chosen = new TreeSet<>();
        while (chosen.size() < Math.min(NEIGHBOURS, others.size())) {
            chosen.add(others.get(random.nextInt(others.size())));
        }
        neighbours = List.copyOf(chosen);
    }

    @Override
    public List<HostId> neighbors() {
        return neighbours;
    }

    @Override
    public void updateAvailability(HostId peer, BitSet held) {
        offers.put(peer, (BitSet) held.clone());
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<FetchRequest> orders = new ArrayList<>();
        int start = random.nextInt(chunkCount());
        for (int k = 0; k < chunkCount() && mayAsk(); k++) {
            int i = (start + k) % chunkCount();
            ChunkSource source = lacks(i) ? source(i) : null;
            if (source != null) {
                orders.add(ask(i, source));
            }
        }
        return orders;
    }

    /**
     * Chooses a source.
     *
     * @param index index of the chunk
     * @return a random peer that offers it, else the origin if a slot is free, else null
     */
    private ChunkSource source(int index) {
        List<HostId> holders = new ArrayList<>();
        offers.forEach(
                (peer, held) -> {
                    if (held.get(index)) {
                        holders.add(peer);
                    }
                });
        if (!holders.isEmpty()) {
            return new ChunkSource(holders.get(random.nextInt(holders.size())));
        }
        return askedOfOrigin() < MAX_ORIGIN ? ChunkSource.ORIGIN : null;
    }
}
