package org.papayawalk.daemon.swarm;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Optional;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.Manifest;

/**
 * Current version of the weights: its verified manifest, and its chunks in the chunk cache.
 *
 * <p>Not thread-safe: confined to the weights thread.
 */
final class CachedVersion {
    private final ChunkCache cache;

    /** None until a manifest is known. */
    private Digest digest = Digest.NONE;

    /** Null until a manifest is known. */
    private VerifiedManifest current;

    /**
     * Creates a version without a manifest.
     *
     * @param cache cache of verified chunks
     */
    CachedVersion(ChunkCache cache) {
        this.cache = cache;
    }

    /**
     * Switches to another version. Evicts cached chunks that it does not contain.
     *
     * @param newDigest digest of its manifest
     * @param manifest its manifest
     */
    void switchTo(Digest newDigest, VerifiedManifest manifest) {
        digest = newDigest;
        current = manifest;
        cache.retainOnly(new HashSet<>(manifest.manifest().chunks()));
    }

    /**
     * Looks up a manifest.
     *
     * @param wanted digest of the manifest
     * @return manifest, or empty if the current version has another digest
     */
    Optional<VerifiedManifest> manifest(Digest wanted) {
        return wanted.equals(digest) ? Optional.ofNullable(current) : Optional.empty();
    }

    /**
     * Returns which chunks of the version are cached.
     *
     * @return indexes of the chunks, empty until a manifest is known
     */
    BitSet cachedChunks() {
        return current == null ? new BitSet() : cache.cachedIndexes(current.manifest().chunks());
    }

    /**
     * Reads a chunk of a version.
     *
     * @param wanted digest of the manifest
     * @param index index of the chunk
     * @return its bytes, or empty if the version is not the current one or the chunk is not cached
     */
    Optional<byte[]> chunk(Digest wanted, int index) {
        return wanted.equals(digest) ? chunk(index) : Optional.empty();
    }

    /**
     * Reads a chunk of the current version.
     *
     * @param index index of the chunk, may be out of range
     * @return its bytes, or empty if it is not cached
     */
    Optional<byte[]> chunk(int index) {
        if (current == null || index < 0 || index >= current.manifest().chunkCount()) {
            return Optional.empty();
        }
        return cache.get(current.manifest().chunks().get(index));
    }

    /**
     * Caches a verified chunk. A manifest must be known.
     *
     * @param index index of the chunk
     * @param data its bytes
     */
    void put(int index, byte[] data) {
        Manifest m = current.manifest();
        cache.put(m.chunks().get(index), data);
    }

    /**
     * Builds the response to a chunk request of a peer.
     *
     * @param wanted digest of the manifest
     * @param index index of the chunk
     * @param beingFetched whether this host is fetching the chunk; a missing chunk is then reported
     *     as busy instead of not held
     * @return the response, with the cached chunks if the version is the current one
     */
    ChunkResponse respond(Digest wanted, int index, boolean beingFetched) {
        if (!wanted.equals(digest)) {
            FetchResult result = beingFetched ? FetchResult.BUSY : FetchResult.NOT_HELD;
            return new ChunkResponse(result, new byte[0], new BitSet());
        }
        return chunk(index)
                .map(data -> new ChunkResponse(FetchResult.VERIFIED, data, cachedChunks()))
                .orElseGet(
                        () ->
                                new ChunkResponse(
                                        beingFetched ? FetchResult.BUSY : FetchResult.NOT_HELD,
                                        new byte[0],
                                        cachedChunks()));
    }
}
