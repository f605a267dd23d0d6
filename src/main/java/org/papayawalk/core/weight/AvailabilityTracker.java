package org.papayawalk.core.weight;

import java.time.Instant;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.papayawalk.core.id.HostId;

/**
 * Tracks the chunks that peers of the same region offer, and the health of peers. Not thread-safe:
 * confined to the thread of its planner.
 */
final class AvailabilityTracker {
    /** Limit of in-flight requests to one peer. */
    private static final int MAX_REQUESTS_PER_PEER = 2;

    /** Indexes of the chunks offered, by peer. */
    private final Map<HostId, BitSet> chunksByPeer = new HashMap<>();

    private final Map<HostId, PeerHealth> healthByPeer = new HashMap<>();

    private final InFlightRequests inFlight;

    /**
     * Creates a tracker without any peer.
     *
     * @param inFlight in-flight requests of the download
     */
    AvailabilityTracker(InFlightRequests inFlight) {
        this.inFlight = inFlight;
    }

    /**
     * Replaces the chunks that a peer offers.
     *
     * @param peer peer
     * @param chunks indexes of the chunks that it holds
     */
    void update(HostId peer, BitSet chunks) {
        chunksByPeer.put(peer, (BitSet) chunks.clone());
    }

    /**
     * Removes all chunks of a peer that failed. Its health is kept; its next report of held chunks
     * makes it a source again.
     *
     * @param peer peer that failed
     */
    void remove(HostId peer) {
        chunksByPeer.remove(peer);
    }

    /**
     * Removes the chunks of peers that no longer download the version. Their health is kept.
     *
     * @param present hosts that download the version
     */
    void retainPeers(Collection<HostId> present) {
        chunksByPeer.keySet().retainAll(present);
    }

    /**
     * Removes one chunk of a peer.
     *
     * @param peer peer that did not deliver the chunk
     * @param index index of the chunk
     */
    void removeChunk(HostId peer, int index) {
        BitSet chunks = chunksByPeer.get(peer);
        if (chunks != null) {
            chunks.clear(index);
        }
    }

    /**
     * Returns whether a peer offers any chunk.
     *
     * @param peer peer
     * @return false if it reported none, or has not reported yet
     */
    boolean offersAny(HostId peer) {
        BitSet chunks = chunksByPeer.get(peer);
        return chunks != null && !chunks.isEmpty();
    }

    /**
     * Returns the health of a peer.
     *
     * @param peer peer
     * @return its health, created if the peer is new
     */
    PeerHealth health(HostId peer) {
        return healthByPeer.computeIfAbsent(peer, p -> new PeerHealth());
    }

    /**
     * Counts the peers that a chunk can be requested from now.
     *
     * @param index index of the chunk
     * @param now present time
     * @return number of peers that offer the chunk and have a free slot
     */
    int countRequestable(int index, Instant now) {
        int count = 0;
        for (Map.Entry<HostId, BitSet> e : chunksByPeer.entrySet()) {
            if (e.getValue().get(index) && canRequest(e.getKey(), index, now)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns whether any peer that is not blocked offers a chunk, even if that peer is busy now.
     *
     * @param index index of the chunk
     * @param now present time
     * @return true if at least one does
     */
    boolean isOffered(int index, Instant now) {
        for (Map.Entry<HostId, BitSet> e : chunksByPeer.entrySet()) {
            if (e.getValue().get(index) && !health(e.getKey()).isBlocked(now)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the peer with the fewest in-flight requests among those that a chunk can be requested
     * from now. Ties are broken at random.
     *
     * @param index index of the chunk
     * @param now present time
     * @param random random generator for tie-breaks
     * @return the peer, or null if there is none
     */
    HostId leastLoaded(int index, Instant now, SplittableRandom random) {
        HostId best = null;
        int fewest = Integer.MAX_VALUE;
        int ties = 0;
        for (Map.Entry<HostId, BitSet> e : chunksByPeer.entrySet()) {
            if (!e.getValue().get(index) || !canRequest(e.getKey(), index, now)) {
                continue;
            }
            int n = health(e.getKey()).inFlightCount();
            ties = n < fewest ? 1 : ties + 1;
            if (n < fewest || (n == fewest && random.nextInt(ties) == 0)) {
                best = e.getKey();
                fewest = n;
            }
        }
        return best;
    }

    /**
     * Returns whether a chunk may be requested from a peer.
     *
     * @param peer peer
     * @param index index of the chunk
     * @param now present time
     * @return true if the peer is in no backoff and has a free slot, and no request for this chunk
     *     to it is in flight
     */
    boolean canRequest(HostId peer, int index, Instant now) {
        PeerHealth health = health(peer);
        return health.isAvailable(now)
                && health.inFlightCount() < MAX_REQUESTS_PER_PEER
                && !inFlight.isRequestedFrom(index, peer);
    }
}
