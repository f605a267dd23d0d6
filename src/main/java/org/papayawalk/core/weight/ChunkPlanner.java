package org.papayawalk.core.weight;

import java.time.Instant;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.papayawalk.core.id.HostId;

/**
 * Decides which chunk of one version to ask of which source. Implementations are confined to one
 * thread of their caller.
 */
public interface ChunkPlanner {

    /**
     * Sets the hosts that want the version and are presumed alive.
     *
     * @param hosts those hosts, with or without this one
     */
    void updatePeers(Collection<SwarmPeer> hosts);

    /**
     * Returns the neighbours to exchange availability with.
     *
     * @return bounded list of hosts
     */
    List<HostId> neighbors();

    /**
     * Records the chunks that a peer offers.
     *
     * @param peer host that offers
     * @param held chunks that it holds
     */
    void updateAvailability(HostId peer, BitSet held);

    /**
     * Chooses the requests to send now. Each is counted as under way until {@link #recordResult}.
     *
     * @param now present time
     * @return requests, at most as many as there are free slots
     */
    List<FetchRequest> nextRequests(Instant now);

    /**
     * Records the end of a request.
     *
     * @param order the request
     * @param result how it ended
     * @param now present time
     */
    void recordResult(FetchRequest order, FetchResult result, Instant now);

    /**
     * Marks a chunk as had without a request, such as one kept from another version.
     *
     * @param index index of the chunk
     */
    void markHeld(int index);

    /**
     * Tells whether a chunk that is not held will come without a request of others.
     *
     * @param index index of the chunk
     * @return true if it is asked for, or is this host's to fetch
     */
    boolean fetches(int index);

    /**
     * Returns the number of verified chunks.
     *
     * @return 0 up to the number of chunks
     */
    int heldCount();

    /**
     * Tells whether every chunk was verified.
     *
     * @return true if none is missing
     */
    boolean isComplete();
}
