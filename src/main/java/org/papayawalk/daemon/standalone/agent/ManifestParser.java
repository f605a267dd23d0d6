package org.papayawalk.daemon.standalone.agent;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;

/** Reads the bytes of a manifest. Thread-safe. */
public interface ManifestParser {

    /**
     * Reads a manifest.
     *
     * @param data bytes as the origin or a peer sent them
     * @param version name of the version that is wanted
     * @param source where the bytes come from
     * @return manifest, or a fault if the bytes are not the manifest of this version
     */
    Either<Fault, Manifest> read(byte[] data, Digest version, String source);
}
