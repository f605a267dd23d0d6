package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.papayawalk.core.id.HostId;

/**
 * Chunks that other hosts are receiving from the origin, as they announced. Answers the load of
 * hosts that join while a copy leaves a slow origin: chunks that are assigned to them anew would
 * leave it twice. An announcement counts for a while only, as its host may have failed. Not
 * thread-safe: confined to the thread of its planner.
 */
final class PeerFetches {
    /** Time for which an announcement counts. */
    static final Duration VALIDITY = Duration.ofSeconds(1);

    private final Map<HostId, Announcement> announcements = new HashMap<>();

    /**
     * Replaces the chunks that a peer is receiving.
     *
     * @param peer peer
     * @param chunks indexes of the chunks
     * @param now present time
     */
    void update(HostId peer, BitSet chunks, Instant now) {
        announcements.put(peer, new Announcement((BitSet) chunks.clone(), now));
    }

    /**
     * Forgets peers that no longer download the version.
     *
     * @param present hosts that do
     */
    void retainPeers(Collection<HostId> present) {
        announcements.keySet().retainAll(present);
    }

    /**
     * Returns whether a peer is receiving a chunk.
     *
     * @param index index of the chunk
     * @param now present time
     * @return true if one announced it a short time ago
     */
    boolean includes(int index, Instant now) {
        return announcements.values().stream()
                .anyMatch(a -> a.chunks.get(index) && now.isBefore(a.at.plus(VALIDITY)));
    }

    private record Announcement(BitSet chunks, Instant at) {}
}
