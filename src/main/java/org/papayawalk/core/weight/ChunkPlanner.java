package org.papayawalk.core.weight;

import java.time.Instant;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.papayawalk.core.id.HostId;

/**
 * Decides which chunks of one version to request from which sources, and when. Implementations are
 * not thread-safe; the caller confines each instance to one thread.
 */
public interface ChunkPlanner {

    /**
     * Replaces the set of hosts that download the version and are presumed alive.
     *
     * @param peers those hosts, with or without this one
     */
    void updatePeers(Collection<SwarmPeer> peers);

    /**
     * Returns the hosts to exchange chunk availability with.
     *
     * @return list of bounded length, without this host
     */
    List<HostId> neighbors();

    /**
     * Replaces the set of chunks that a peer is known to hold.
     *
     * @param peer host that reported its chunks
     * @param chunks indexes of the chunks that it holds
     */
    void updateAvailability(HostId peer, BitSet chunks);

    /**
     * Replaces the set of chunks that a peer is receiving from the origin.
     *
     * @param peer host that reported them
     * @param chunks indexes of the chunks
     * @param now present time
     */
    default void updateFetches(HostId peer, BitSet chunks, Instant now) {
        // Most planners do not share an origin with their peers.
    }

    /**
     * Returns the chunks that this host is receiving from the origin.
     *
     * @return indexes of the chunks
     */
    default BitSet fetches() {
        return new BitSet();
    }

    /**
     * Chooses the requests to send now. Each one counts as in flight until {@link #recordResult}.
     *
     * @param now present time
     * @return requests, at most as many as there are free slots
     */
    List<FetchRequest> nextRequests(Instant now);

    /**
     * Records the result of a request.
     *
     * @param request request that has ended
     * @param result how it ended
     * @param now present time
     */
    void recordResult(FetchRequest request, FetchResult result, Instant now);

    /**
     * Marks a chunk as held although it was not requested, for example because an earlier version
     * has the same chunk.
     *
     * @param index index of the chunk
     */
    void markHeld(int index);

    /**
     * Returns whether this host is fetching a chunk, or will fetch it without waiting for other
     * hosts to do so first. Requests of peers for such a chunk can wait until it is held.
     *
     * @param index index of the chunk
     * @return true if a request is in flight, or if the chunk is missing and this host is the one
     *     to fetch it
     */
    boolean fetches(int index);

    /**
     * Returns the number of chunks held.
     *
     * @return 0 up to the number of chunks
     */
    int heldCount();

    /**
     * Returns whether every chunk is held.
     *
     * @return true if no chunk is missing
     */
    boolean isComplete();
}
