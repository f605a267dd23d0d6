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
 * Baseline planner that requests all chunks in order from one parent: the origin, or a host by its
 * position in the sorted host list. Not thread-safe.
 */
final class ParentPlanner extends BaselinePlanner {
    /** Number of children of each host; 0 if all hosts use the origin. */
    private final int fanOut;

    /** Chunks that the parent holds. */
    private BitSet parentChunks = new BitSet();

    /** The origin for the first host. */
    private ChunkSource parent = ChunkSource.ORIGIN;

    private List<HostId> children = List.of();

    /**
     * Creates a planner.
     *
     * @param self name of this host
     * @param fanOut number of children of each host; 0 if all hosts use the origin
     * @param chunkCount number of chunks
     * @param maxRequests maximum number of requests in flight
     */
    ParentPlanner(HostId self, int fanOut, int chunkCount, int maxRequests) {
        super(self, chunkCount, maxRequests);
        this.fanOut = fanOut;
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> hosts) {
        List<HostId> sortedHosts = hosts.stream().map(SwarmPeer::host).sorted().toList();
        int position = sortedHosts.indexOf(self());
        if (fanOut == 0 || position < 0) {
            return;
        }
        parent =
                position == 0
                        ? ChunkSource.ORIGIN
                        : new ChunkSource(sortedHosts.get((position - 1) / fanOut));
        List<HostId> newChildren = new ArrayList<>();
        for (int i = 1; i <= fanOut; i++) {
            int child = position * fanOut + i;
            if (child < sortedHosts.size()) {
                newChildren.add(sortedHosts.get(child));
            }
        }
        children = newChildren;
    }

    @Override
    public List<HostId> neighbors() {
        return children;
    }

    @Override
    public void updateAvailability(HostId peer, BitSet held) {
        if (!parent.isOrigin() && peer.equals(parent.host())) {
            parentChunks = (BitSet) held.clone();
        }
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<FetchRequest> requests = new ArrayList<>();
        for (int i = 0; i < chunkCount() && hasFreeSlot(); i++) {
            if (isRequestable(i) && (parent.isOrigin() || parentChunks.get(i))) {
                requests.add(addRequest(i, parent));
            }
        }
        return requests;
    }
}
