package org.papayawalk.daemon.standalone.agent;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Optional;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.Manifest;

/**
 * Version whose manifest is known, with its chunks held in memory. Not thread-safe: confined to the
 * weights thread.
 */
final class CachedVersion {
    /** Chunks held. */
    private final ChunkCache store;

    /** Digest of the manifest, none if no manifest is known. */
    private Digest digest = Digest.NONE;

    /** Manifest, or null. */
    private VerifiedManifest found;

    /**
     * Creates a version without manifest.
     *
     * @param store chunks held
     */
    CachedVersion(ChunkCache store) {
        this.store = store;
    }

    /**
     * Turns to a version. Chunks that it lacks are dropped.
     *
     * @param newDigest digest of the manifest
     * @param manifest manifest
     */
    void turnTo(Digest newDigest, VerifiedManifest manifest) {
        digest = newDigest;
        found = manifest;
        store.retain(new HashSet<>(manifest.manifest().chunks()));
    }

    /**
     * Looks up a manifest.
     *
     * @param wanted digest of the manifest
     * @return manifest, or empty if it is not that of this version
     */
    Optional<VerifiedManifest> manifest(Digest wanted) {
        return wanted.equals(digest) ? Optional.ofNullable(found) : Optional.empty();
    }

    /**
     * Returns the chunks held.
     *
     * @return their indexes
     */
    BitSet chunks() {
        return found == null ? new BitSet() : store.held(found.manifest().chunks());
    }

    /**
     * Reads a chunk of a version.
     *
     * @param wanted name of the version
     * @param index index of the chunk
     * @return its bytes, or empty if the chunk or the version is not held
     */
    Optional<byte[]> chunk(Digest wanted, int index) {
        return wanted.equals(digest) ? chunk(index) : Optional.empty();
    }

    /**
     * Reads a chunk.
     *
     * @param index index of the chunk
     * @return its bytes, or empty if it is not held
     */
    Optional<byte[]> chunk(int index) {
        if (found == null || index < 0 || index >= found.manifest().chunkCount()) {
            return Optional.empty();
        }
        return store.get(found.manifest().chunks().get(index));
    }

    /**
     * Holds a verified chunk.
     *
     * @param index index of the chunk
     * @param data its bytes
     */
    void put(int index, byte[] data) {
        Manifest m = found.manifest();
        store.put(m.chunks().get(index), data);
    }

    /**
     * Builds the answer to a request for a chunk.
     *
     * @param wanted digest of the manifest
     * @param index index of the chunk
     * @param coming whether the chunk is being fetched
     * @return the answer
     */
    ChunkResponse answer(Digest wanted, int index, boolean coming) {
        if (!wanted.equals(digest)) {
            FetchResult result = coming ? FetchResult.BUSY : FetchResult.NOT_HELD;
            return new ChunkResponse(result, new byte[0], new BitSet());
        }
        return chunk(index)
                .map(data -> new ChunkResponse(FetchResult.VERIFIED, data, chunks()))
                .orElseGet(
                        () ->
                                new ChunkResponse(
                                        coming ? FetchResult.BUSY : FetchResult.NOT_HELD,
                                        new byte[0],
                                        chunks()));
    }
}
