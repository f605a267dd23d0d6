package org.papayawalk.core.port;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;

/**
 * Origin of the weights. What it returns is not verified here. Implementations are safe from any
 * thread.
 */
public interface Origin {

    /**
     * Reads a manifest.
     *
     * @param digest digest of the manifest
     * @return bytes of the manifest, or a fault
     */
    Either<Fault, byte[]> manifest(Digest digest);

    /**
     * Reads a chunk.
     *
     * @param digest digest of the manifest
     * @param index index of the chunk
     * @return bytes of the chunk, or a fault
     */
    Either<Fault, byte[]> chunk(Digest digest, int index);
}
