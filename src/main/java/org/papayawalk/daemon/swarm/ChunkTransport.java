package org.papayawalk.daemon.swarm;

import java.util.BitSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;

/** Sends chunk messages to other agents. Implementations are thread-safe. */
public interface ChunkTransport {

    /**
     * Requests a chunk from a peer.
     *
     * @param peer peer to send the request to
     * @param digest digest of the manifest
     * @param index index of the chunk
     * @param held indexes of the chunks held by this host, reported with the request
     * @return unverified response; never completes exceptionally
     */
    CompletableFuture<ChunkResponse> requestChunk(
            HostId peer, Digest digest, int index, BitSet held);

    /**
     * Requests a manifest from a peer.
     *
     * @param peer peer to send the request to
     * @param digest digest of the manifest
     * @return its bytes, unverified, or empty if the peer does not return them; never completes
     *     exceptionally
     */
    CompletableFuture<Optional<byte[]>> requestManifest(HostId peer, Digest digest);

    /**
     * Announces to a peer which chunks this host holds. Delivery is not confirmed.
     *
     * @param peer peer to send the announcement to
     * @param digest digest of the manifest
     * @param held indexes of the chunks held by this host
     * @param fetches indexes of the chunks that it is receiving from the origin
     */
    void announceChunks(HostId peer, Digest digest, BitSet held, BitSet fetches);
}
