package org.papayawalk.daemon.swarm;

import java.util.Optional;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;

/** Place from which the upstream loads weights. Implementations are thread-safe. */
public interface StagingArea {

    /** Starts over because the upstream was restarted or another version is wanted. */
    void reset();

    /**
     * Stages a chunk. Blocks until it is written.
     *
     * @param digest digest of the manifest
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @param data verified bytes
     * @return true if the chunk was written
     */
    boolean write(Digest digest, Manifest manifest, int index, byte[] data);

    /**
     * Reads a chunk that was staged before this process started.
     *
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @return unverified bytes, or empty if the chunk is not staged
     */
    default Optional<byte[]> read(Manifest manifest, int index) {
        return Optional.empty();
    }
}
