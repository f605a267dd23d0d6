package org.papayawalk.core.weight;

import java.time.Instant;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.papayawalk.core.id.HostId;

/**
 * Chunks that peers offer, and the conduct of these peers. Not thread-safe: confined to its
 * download's thread.
 */
final class AvailabilityTracker {
    /** Requests under way at one peer. */
    private static final int MAX_PER_PEER = 2;

    /** Chunks offered, by peer. */
    private final Map<HostId, BitSet> offers = new HashMap<>();

    /** Conduct of peers. */
    private final Map<HostId, PeerHealth> standings = new HashMap<>();

    /** Requests under way. */
    private final InFlightRequests open;

    /**
     * Creates an empty book.
     *
     * @param open requests under way
     */
    AvailabilityTracker(InFlightRequests open) {
        this.open = open;
    }

    /**
     * Records the chunks that a peer offers.
     *
     * @param peer host that offers
     * @param held chunks that it holds
     */
    void update(HostId peer, BitSet held) {
        offers.put(peer, (BitSet) held.clone());
    }

    /**
     * Drops the whole offer of a peer that does not answer. Its next offer counts again.
     *
     * @param peer host that failed
     */
    void remove(HostId peer) {
        offers.remove(peer);
    }

    /**
     * Drops the offers of hosts that take no part any more.
     *
     * @param present hosts that take part
     */
    void retainPeers(Collection<HostId> present) {
        offers.keySet().retainAll(present);
    }

    /**
     * Strikes a chunk from a peer's offer.
     *
     * @param peer host that did not deliver
     * @param index index of the chunk
     */
    void removeChunk(HostId peer, int index) {
        BitSet held = offers.get(peer);
        if (held != null) {
            held.clear(index);
        }
    }

    /**
     * Returns the standing of a peer.
     *
     * @param peer peer to look up
     * @return its standing, new if it was unknown
     */
    PeerHealth health(HostId peer) {
        return standings.computeIfAbsent(peer, p -> new PeerHealth());
    }

    /**
     * Counts the peers that offer a chunk and may be asked now.
     *
     * @param index index of the chunk
     * @param now present time
     * @return number of peers with a free slot
     */
    int countRequestable(int index, Instant now) {
        int count = 0;
        for (Map.Entry<HostId, BitSet> e : offers.entrySet()) {
            if (e.getValue().get(index) && canRequest(e.getKey(), index, now)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Tells whether any peer that is trusted offers a chunk, although it may be busy now.
     *
     * @param index index of the chunk
     * @param now present time
     * @return true if one does
     */
    boolean isOffered(int index, Instant now) {
        for (Map.Entry<HostId, BitSet> e : offers.entrySet()) {
            if (e.getValue().get(index) && !health(e.getKey()).isBlocked(now)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the peer with the fewest requests among those that offer a chunk.
     *
     * @param index index of the chunk
     * @param now present time
     * @param random source of tie-breaks
     * @return the peer, or null if none may be asked
     */
    HostId leastLoaded(int index, Instant now, SplittableRandom random) {
        HostId best = null;
        int fewest = Integer.MAX_VALUE;
        int ties = 0;
        for (Map.Entry<HostId, BitSet> e : offers.entrySet()) {
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
     * Tells whether a peer may be asked for a chunk.
     *
     * @param peer peer to ask
     * @param index index of the chunk
     * @param now present time
     * @return true if it is usable, has a free slot and is not already asked for the chunk
     */
    boolean canRequest(HostId peer, int index, Instant now) {
        PeerHealth standing = health(peer);
        return standing.isAvailable(now)
                && standing.inFlightCount() < MAX_PER_PEER
                && !open.isRequestedFrom(index, peer);
    }
}
