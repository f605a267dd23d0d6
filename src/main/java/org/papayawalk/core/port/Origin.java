package org.papayawalk.core.port;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;

/**
 * Client of the server that weights are downloaded from. The caller must verify the returned data
 * against its digest. Implementations are thread-safe.
 */
public interface Origin {

    /**
     * Reads a manifest.
     *
     * @param digest digest of the manifest
     * @return unverified bytes of the manifest, or a fault
     */
    Either<Fault, byte[]> manifest(Digest digest);

    /**
     * Reads a chunk.
     *
     * @param digest digest of the manifest
     * @param index index of the chunk, starting at 0
     * @return unverified bytes of the chunk, or a fault
     */
    Either<Fault, byte[]> chunk(Digest digest, int index);
}
