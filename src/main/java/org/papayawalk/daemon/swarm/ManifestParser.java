package org.papayawalk.daemon.swarm;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;

/** Parses and verifies manifests. Implementations are thread-safe. */
public interface ManifestParser {

    /**
     * Parses a manifest.
     *
     * @param data bytes received from the origin or a peer
     * @param version digest that identifies the version
     * @param source name of the sender, used in the fault
     * @return manifest, or a fault if the bytes are not the manifest of the version
     */
    Either<Fault, Manifest> parse(byte[] data, Digest version, String source);
}
