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
import org.papayawalk.core.weight.ChunkPlanner;
import org.papayawalk.core.weight.ChunkSource;
import org.papayawalk.core.weight.FetchOrder;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.SwarmPeer;

/**
 * Asks random peers for random chunks, and the origin for random chunks that no peer offers. Not
 * thread-safe.
 */
final class RandomPlanner implements ChunkPlanner {
    /** Peers that availability is exchanged with. */
    private static final int NEIGHBOURS = 10;

    /** Requests to the origin under way at most. */
    private static final int MAX_ORIGIN = 2;

    /** Name of this host. */
    private final HostId self;

    /** Number of chunks. */
    private final int chunkCount;

    /** Requests under way at most. */
    private final int maxRequests;

    /** Source of choices. */
    private final SplittableRandom random;

    /** Chunks received. */
    private final ReceivedChunks have;

    /** Sources of the chunks asked for. */
    private final Map<Integer, ChunkSource> open = new HashMap<>();

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
        this.self = self;
        this.chunkCount = chunkCount;
        this.have = new ReceivedChunks(chunkCount);
        this.maxRequests = maxRequests;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void swarm(Collection<SwarmPeer> hosts) {
        if (!neighbours.isEmpty()) {
            return;
        }
        List<HostId> others =
                new ArrayList<>(hosts.stream().map(SwarmPeer::host).sorted().toList());
        others.remove(self);
        Set<HostId> chosen = new TreeSet<>();
        while (chosen.size() < Math.min(NEIGHBOURS, others.size())) {
            chosen.add(others.get(random.nextInt(others.size())));
        }
        neighbours = List.copyOf(chosen);
    }

    @Override
    public List<HostId> neighbours() {
        return neighbours;
    }

    @Override
    public void offered(HostId peer, BitSet held) {
        offers.put(peer, (BitSet) held.clone());
    }

    @Override
    public List<FetchOrder> next(Instant now) {
        List<FetchOrder> orders = new ArrayList<>();
        int start = random.nextInt(chunkCount);
        for (int k = 0; k < chunkCount && open.size() < maxRequests; k++) {
            int i = (start + k) % chunkCount;
            if (have.has(i) || open.containsKey(i)) {
                continue;
            }
            ChunkSource source = source(i);
            if (source != null) {
                open.put(i, source);
                orders.add(new FetchOrder(i, source));
            }
        }
        return orders;
    }

    @Override
    public void ended(FetchOrder order, FetchResult result, Instant now) {
        open.remove(order.index());
        have.ended(order, result);
    }

    @Override
    public void keep(int index) {
        have.keep(index);
    }

    @Override
    public boolean expects(int index) {
        return open.containsKey(index);
    }

    @Override
    public int haveCount() {
        return have.count();
    }

    @Override
    public boolean complete() {
        return have.complete();
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
        long asked = open.values().stream().filter(ChunkSource::isOrigin).count();
        return asked < MAX_ORIGIN ? ChunkSource.ORIGIN : null;
    }
}
