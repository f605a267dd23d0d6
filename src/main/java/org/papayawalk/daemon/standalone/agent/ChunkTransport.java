package org.papayawalk.daemon.standalone.agent;

import java.util.BitSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;

/** Messages about chunks between agents. Implementations are safe from any thread. */
public interface ChunkTransport {

    /**
     * Asks a peer for a chunk.
     *
     * @param peer peer to ask
     * @param digest digest of the manifest
     * @param index index of the chunk
     * @param held chunks held here
     * @return the answer; never completes exceptionally
     */
    CompletableFuture<ChunkResponse> request(HostId peer, Digest digest, int index, BitSet held);

    /**
     * Asks a peer for a manifest.
     *
     * @param peer peer to ask
     * @param digest digest of the manifest
     * @return its bytes, unverified, or empty; never completes exceptionally
     */
    CompletableFuture<Optional<byte[]>> manifest(HostId peer, Digest digest);

    /**
     * Tells a peer which chunks are held here.
     *
     * @param peer peer to tell
     * @param digest digest of the manifest
     * @param held chunks held here
     */
    void offer(HostId peer, Digest digest, BitSet held);
}
