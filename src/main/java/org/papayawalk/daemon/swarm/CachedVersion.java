package org.papayawalk.daemon.swarm;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.Manifest;

/**
 * Current version of the weights: its verified manifest, and its chunks in the chunk cache. The
 * version before it stays readable until it is dropped, so that peers that have fetched most of it
 * can finish. A version can only follow the one before it if its source does not forget that one
 * the moment a newer version is requested.
 *
 * <p>Not thread-safe: confined to the weights thread.
 */
final class CachedVersion {
    private final ChunkCache cache;

    /** None until a manifest is known. */
    private Digest digest = Digest.NONE;

    /** Null until a manifest is known. */
    private VerifiedManifest current;

    /** Digest of the version before the current one, none if it was dropped. */
    private Digest previousDigest = Digest.NONE;

    /** Manifest of the version before the current one, null if it was dropped. */
    private VerifiedManifest previous;

    /**
     * Creates a version without a manifest.
     *
     * @param cache cache of verified chunks
     */
    CachedVersion(ChunkCache cache) {
        this.cache = cache;
    }

    /**
     * Switches to another version. Keeps the chunks of the current one, which becomes the previous
     * one, and evicts all others.
     *
     * @param newDigest digest of its manifest
     * @param manifest its manifest
     */
    void switchTo(Digest newDigest, VerifiedManifest manifest) {
        if (!newDigest.equals(digest)) {
            previousDigest = digest;
            previous = current;
        }
        digest = newDigest;
        current = manifest;
        evictOthers();
    }

    /** Drops the version before the current one and evicts its chunks. */
    void dropPrevious() {
        previousDigest = Digest.NONE;
        previous = null;
        if (current != null) {
            evictOthers();
        }
    }

    /**
     * Looks up a manifest.
     *
     * @param wanted digest of the manifest
     * @return manifest, or empty if neither the current nor the previous version has the digest
     */
    Optional<VerifiedManifest> manifest(Digest wanted) {
        if (wanted.equals(digest)) {
            return Optional.ofNullable(current);
        }
        return wanted.equals(previousDigest) ? Optional.ofNullable(previous) : Optional.empty();
    }

    /**
     * Returns which chunks of the version are cached.
     *
     * @return indexes of the chunks, empty until a manifest is known
     */
    BitSet cachedChunks() {
        return current == null ? new BitSet() : cachedChunks(current);
    }

    /**
     * Reads a chunk of a version.
     *
     * @param wanted digest of the manifest
     * @param index index of the chunk
     * @return its bytes, or empty if the version is not known or the chunk is not cached
     */
    Optional<byte[]> chunk(Digest wanted, int index) {
        return manifest(wanted).flatMap(m -> chunk(m, index));
    }

    /**
     * Reads a chunk of the current version.
     *
     * @param index index of the chunk, may be out of range
     * @return its bytes, or empty if it is not cached
     */
    Optional<byte[]> chunk(int index) {
        return current == null ? Optional.empty() : chunk(current, index);
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
     * @return the response, with the cached chunks of the version if it is known
     */
    ChunkResponse respond(Digest wanted, int index, boolean beingFetched) {
        FetchResult missing = beingFetched ? FetchResult.BUSY : FetchResult.NOT_HELD;
        BitSet cached = manifest(wanted).map(this::cachedChunks).orElseGet(BitSet::new);
        return chunk(wanted, index)
                .map(data -> new ChunkResponse(FetchResult.VERIFIED, data, cached))
                .orElseGet(() -> new ChunkResponse(missing, new byte[0], cached));
    }

    private Optional<byte[]> chunk(VerifiedManifest version, int index) {
        if (index < 0 || index >= version.manifest().chunkCount()) {
            return Optional.empty();
        }
        return cache.get(version.manifest().chunks().get(index));
    }

    private BitSet cachedChunks(VerifiedManifest version) {
        return cache.cachedIndexes(version.manifest().chunks());
    }

    private void evictOthers() {
        Set<Digest> kept = new HashSet<>(current.manifest().chunks());
        if (previous != null) {
            kept.addAll(previous.manifest().chunks());
        }
        cache.retainOnly(kept);
    }
}
