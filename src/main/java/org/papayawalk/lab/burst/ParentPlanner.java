package org.papayawalk.lab.burst;

import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.weight.ChunkSource;
import org.papayawalk.core.weight.FetchRequest;
import org.papayawalk.core.weight.SwarmPeer;

/**
 * Takes all chunks in order from one parent: the origin, or a host by its place. Not thread-safe.
 */
final class ParentPlanner extends BaselinePlanner {
    /** Children of each host; 0 if all take from the origin. */
    private final int fanOut;

    /** Chunks that the parent offers. */
    private BitSet parentHas = new BitSet();

    /** Parent, the origin for the first host. */
    private ChunkSource parent = ChunkSource.ORIGIN;

    /** Children. */
    private List<HostId> children = List.of();

    /**
     * Creates a planner.
     *
     * @param self name of this host
     * @param fanOut children of each host; 0 if all take from the origin
     * @param chunkCount number of chunks
     * @param maxRequests requests under way at most
     */
    ParentPlanner(HostId self, int fanOut, int chunkCount, int maxRequests) {
        super(self, chunkCount, maxRequests);
        this.fanOut = fanOut;
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> hosts) {
        List<HostId> order = hosts.stream().map(SwarmPeer::host).sorted().toList();
        int place = order.indexOf(self());
        if (fanOut == 0 || place < 0) {
            return;
        }
        parent = place == 0 ? ChunkSource.ORIGIN : new ChunkSource(order.get((place - 1) / fanOut));
        List<HostId> below = new ArrayList<>();
        for (int i = 1; i <= fanOut; i++) {
            int child = place * fanOut + i;
            if (child < order.size()) {
                below.add(order.get(child));
            }
        }
        children = below;
    }

    @Override
    public List<HostId> neighbors() {
        return children;
    }

    @Override
    public void updateAvailability(HostId peer, BitSet held) {
        if (!parent.isOrigin() && peer.equals(parent.host())) {
            parentHas = (BitSet) held.clone();
        }
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<FetchRequest> orders = new ArrayList<>();
        for (int i = 0; i < chunkCount() && mayAsk(); i++) {
            if (lacks(i) && (parent.isOrigin() || parentHas.get(i))) {
                orders.add(ask(i, parent));
            }
        }
        return orders;
    }
}
