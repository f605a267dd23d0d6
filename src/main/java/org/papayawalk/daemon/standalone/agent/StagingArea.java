package org.papayawalk.daemon.standalone.agent;

import java.util.Optional;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;

/** Puts chunks where the upstream loads weights from. Thread-safe. */
public interface StagingArea {

    /** Forgets what was staged, because the upstream restarted or another version is wanted. */
    void reset();

    /**
     * Stages a chunk.
     *
     * @param digest digest of the version
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @param data verified bytes
     * @return true if the upstream took it
     */
    boolean write(Digest digest, Manifest manifest, int index, byte[] data);

    /**
     * Reads a chunk that was staged before this process started.
     *
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @return bytes, not verified; empty if there are none
     */
    default Optional<byte[]> read(Manifest manifest, int index) {
        return Optional.empty();
    }
}
