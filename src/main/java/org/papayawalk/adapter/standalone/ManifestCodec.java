package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;

/** Writes and reads manifests as JSON. Stateless; thread-safe. */
public final class ManifestCodec {

    private ManifestCodec() {}

    /**
     * Writes a manifest.
     *
     * @param manifest manifest to write
     * @return UTF-8 text, whose digest identifies the version
     */
    public static byte[] write(Manifest manifest) {
        return Json.write(manifest);
    }

    /**
     * Reads a manifest after comparing the digest of its text with the expected one.
     *
     * @param data UTF-8 text of the JSON document
     * @param digest digest that the text must have
     * @param peer source of the text, used in faults
     * @return manifest, or a fault of kind {@code CORRUPT}
     */
    public static Either<Fault, Manifest> read(byte[] data, Digest digest, String peer) {
        Digest actual = Digest.of(data);
        if (!actual.equals(digest)) {
            String reason = "manifest has digest %s, expected %s";
            return Either.left(
                    new Fault(
                            FaultKind.CORRUPT,
                            "read-manifest",
                            peer,
                            reason.formatted(actual, digest)));
        }
        try {
            return Either.right(Json.read(data, Manifest.class));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-manifest", peer, e));
        }
    }
}
